//! Cost and speed of the membership decisions: tables that hand each other their
//! messages, without a network, at several fleet sizes. CSV on standard output.
//!
//! Bytes are those of the encoded messages that one node sends in a second,
//! requests and replies, with [`FRAMING`] for each. Processor time is what one
//! table takes for rounds, encoding and decoding, in a single thread.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::Parser;
use mulberrycourse::decide::members::{Gossip, MemberRecord, MemberTable, NodeState};
use mulberrycourse::edge::peer::{CodecError, NodeLocation, NodeRequest, decode, encode};

/// Time between two rounds, as in the daemon.
const ROUND: Duration = Duration::from_millis(500);
/// Targets in a round, as in the daemon.
const FANOUT: usize = 2;
/// Bytes of a message besides its content: HTTP/2 frames and indexed headers
/// (about 40) and TCP over IPv4 (52).
const FRAMING: usize = 92;

/// Measures membership at several fleet sizes.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Args {
    /// Fleet sizes.
    #[arg(long, value_delimiter = ',', default_value = "7,64,380,1024")]
    sizes: Vec<usize>,
    /// Rounds that are measured.
    #[arg(long, default_value_t = 120)]
    rounds: u32,
    /// Seed of the random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

type Table = MemberTable<NodeLocation>;

/// The tables, and what their messages cost.
struct Run {
    tables: Vec<Table>,
    dead: Option<usize>,
    now: Duration,
    messages: u64,
    bytes: u64,
}

#[allow(clippy::print_stderr)]
fn main() -> ExitCode {
    let args = Args::parse();
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("members-bench: {e}");
            ExitCode::FAILURE
        }
    }
}

#[allow(clippy::print_stdout)]
fn run(args: &Args) -> Result<(), CodecError> {
    println!(
        "nodes,rounds,messages_per_s,bytes_per_s,cpu_us_per_s,state_bytes,\
         oldest_beat_ms,draining_known_ms,failure_known_ms"
    );
    for size in &args.sizes {
        let mut run = Run::new(*size, args.seed);
        for _ in 0..args.rounds {
            run.round()?;
        }
        (run.messages, run.bytes) = (0, 0);
        let started = Instant::now();
        let mut oldest = Duration::ZERO;
        for _ in 0..args.rounds {
            run.round()?;
            oldest = oldest.max(run.oldest());
        }
        let cost = started.elapsed();
        let nodes = *size as f64;
        let seconds = ROUND.as_secs_f64() * f64::from(args.rounds);
        let per = |total: u64| total as f64 / nodes / seconds;
        let (messages, bytes) = (per(run.messages), per(run.bytes));
        let draining = run.draining()?;
        let failure = run.failure()?;
        println!(
            "{size},{},{messages:.1},{bytes:.0},{:.0},{},{},{},{}",
            args.rounds,
            cost.as_secs_f64() * 1e6 / nodes / seconds,
            run.state()?,
            oldest.as_millis(),
            draining.as_millis(),
            failure.as_millis(),
        );
    }
    Ok(())
}

impl Run {
    /// Tables that all know each other.
    fn new(size: usize, seed: u64) -> Self {
        let all: Vec<MemberRecord<NodeLocation>> = (0..size).map(news).collect();
        let now = Duration::from_secs(1);
        let table = |(index, own): (usize, &MemberRecord<NodeLocation>)| {
            let mut table = MemberTable::new(own.clone(), seed.wrapping_add(index as u64));
            for other in &all {
                table.load_record(other.clone(), now);
            }
            table
        };
        let tables = all.iter().enumerate().map(table).collect();
        Self { tables, dead: None, now, messages: 0, bytes: 0 }
    }

    fn round(&mut self) -> Result<(), CodecError> {
        self.now += ROUND;
        for index in 0..self.tables.len() {
            if self.dead == Some(index) {
                continue;
            }
            self.tables[index].begin_round(self.now);
            for target in self.tables[index].gossip_targets(FANOUT, self.now) {
                let to = number(&target);
                if self.dead == Some(to) {
                    self.tables[index].report_unreachable(&target, self.now);
                } else {
                    self.exchange(index, to)?;
                }
            }
        }
        Ok(())
    }

    fn exchange(&mut self, from: usize, to: usize) -> Result<(), CodecError> {
        let message = self.tables[from].next_message(&[]);
        let wanted = message.wanted.clone();
        let message = self.sent(message)?;
        self.tables[to].receive(message, self.now);
        let reply = self.tables[to].next_message(&wanted);
        let reply = self.sent(reply)?;
        self.tables[from].receive(reply, self.now);
        Ok(())
    }

    fn sent(&mut self, message: Gossip<NodeLocation>) -> Result<Gossip<NodeLocation>, CodecError> {
        let bytes = encode(&NodeRequest::Gossip(message))?;
        self.messages += 1;
        self.bytes += (bytes.len() + FRAMING) as u64;
        match decode(&bytes)? {
            NodeRequest::Gossip(message) => Ok(message),
            other => unreachable!("a gossip decodes as one, not as {other:?}"),
        }
    }

    fn oldest(&self) -> Duration {
        self.tables.iter().map(|t| t.max_heartbeat_age(self.now)).max().unwrap_or_default()
    }

    /// Until all know that a node drains, by rounds alone.
    fn draining(&mut self) -> Result<Duration, CodecError> {
        let since = self.now;
        self.tables[0].set_state(NodeState::Draining);
        let name = self.tables[0].own().name.clone();
        let knows = |t: &Table| t.get(&name).is_some_and(|n| n.state == NodeState::Draining);
        while !self.tables[1..].iter().all(knows) {
            self.round()?;
        }
        Ok(self.now - since)
    }

    /// Until all count a dead node as failed.
    fn failure(&mut self) -> Result<Duration, CodecError> {
        let since = self.now;
        let dead = self.tables.len() - 1;
        self.dead = Some(dead);
        let name = self.tables[dead].own().name.clone();
        let sees = |t: &Table, now| t.alive(now).any(|n| n.name == name);
        while self.tables[..dead].iter().any(|t| sees(t, self.now)) {
            self.round()?;
        }
        Ok(self.now - since)
    }

    /// The encoded table of one node, in bytes.
    fn state(&self) -> Result<usize, CodecError> {
        let all: Vec<_> = self.tables[0].view(self.now).map(|(news, _)| news).collect();
        Ok(encode(&all)?.len())
    }
}

fn news(index: usize) -> MemberRecord<NodeLocation> {
    let zones = ["gloshaugen", "elgeseter", "heimdal"];
    let octet = (index % 250 + 1) as u8;
    let address = |port| ([10, (index / 250) as u8, 1, octet], port).into();
    MemberRecord {
        name: format!("node-{index}").into(),
        incarnation: 1_764_700_000_000 + index as u64,
        state: NodeState::Serving,
        heartbeat: 100_000,
        bundle: 20_000,
        suspected: false,
        contact: NodeLocation {
            region: "trondheim".into(),
            zone: zones[index % zones.len()].into(),
            callers: address(7000),
            peers: address(7001),
        },
    }
}

fn number(name: &str) -> usize {
    name.trim_start_matches("node-").parse().unwrap_or_default()
}
