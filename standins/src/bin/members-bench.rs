//! Measures the cost and speed of gossip membership at several fleet sizes. The member tables
//! exchange their messages without a network. The results are printed as CSV.
//!
//! Bytes are those of the encoded requests and replies that one node sends in a second, with
//! [`FRAMING_BYTES`] added for each. Processor time is what one table takes for its rounds,
//! including encoding and decoding, in a single thread.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::Parser;
use mulberrycourse::decide::members::{Gossip, MemberRecord, MemberTable, NodeState};
use mulberrycourse::edge::peer::{CodecError, NodeLocation, NodeRequest, decode, encode};

/// Interval between two gossip rounds, as in the daemon.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Gossip targets in a round, as in the daemon.
const GOSSIP_FANOUT: usize = 2;
/// Bytes that a message takes besides its content: about 40 for HTTP/2 frames and indexed
/// headers, and 52 for TCP over IPv4.
const FRAMING_BYTES: usize = 92;

/// Measures membership at several fleet sizes.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Args {
    /// Fleet sizes, in nodes.
    #[arg(long, value_delimiter = ',', default_value = "7,64,380,1024")]
    sizes: Vec<usize>,
    /// Number of measured rounds.
    #[arg(long, default_value_t = 120)]
    rounds: u32,
    /// Seed of the random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

type Table = MemberTable<NodeLocation>;

/// A fleet of member tables, with the cost of their messages.
struct GossipRun {
    tables: Vec<Table>,
    /// The table that has stopped, if any.
    dead: Option<usize>,
    now: Duration,
    /// Messages sent by all tables.
    messages: u64,
    /// Encoded bytes of these messages, with framing.
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
        let mut run = GossipRun::new(*size, args.seed);
        for _ in 0..args.rounds {
            run.round()?;
        }
        (run.messages, run.bytes) = (0, 0);
        let started = Instant::now();
        let mut oldest = Duration::ZERO;
        for _ in 0..args.rounds {
            run.round()?;
            oldest = oldest.max(run.max_heartbeat_age());
        }
        let cost = started.elapsed();
        let nodes = *size as f64;
        let seconds = ROUND_INTERVAL.as_secs_f64() * f64::from(args.rounds);
        let per = |total: u64| total as f64 / nodes / seconds;
        let (messages, bytes) = (per(run.messages), per(run.bytes));
        let draining = run.draining_delay()?;
        let failure = run.failure_delay()?;
        println!(
            "{size},{},{messages:.1},{bytes:.0},{:.0},{},{},{},{}",
            args.rounds,
            cost.as_secs_f64() * 1e6 / nodes / seconds,
            run.state_bytes()?,
            oldest.as_millis(),
            draining.as_millis(),
            failure.as_millis(),
        );
    }
    Ok(())
}

impl GossipRun {
    /// Creates tables that all know each other.
    fn new(size: usize, seed: u64) -> Self {
        let all: Vec<MemberRecord<NodeLocation>> = (0..size).map(member).collect();
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

    /// Runs one gossip round of every live table.
    fn round(&mut self) -> Result<(), CodecError> {
        self.now += ROUND_INTERVAL;
        for index in 0..self.tables.len() {
            if self.dead == Some(index) {
                continue;
            }
            self.tables[index].begin_round(self.now);
            for target in self.tables[index].gossip_targets(GOSSIP_FANOUT, self.now) {
                let to = node_index(&target);
                if self.dead == Some(to) {
                    self.tables[index].report_unreachable(&target, self.now);
                } else {
                    self.exchange(index, to)?;
                }
            }
        }
        Ok(())
    }

    /// Sends a gossip message from one table to another, and the reply back.
    fn exchange(&mut self, from: usize, to: usize) -> Result<(), CodecError> {
        let message = self.tables[from].next_message(&[]);
        let wanted = message.wanted.clone();
        let message = self.transmit(message)?;
        self.tables[to].receive(message, self.now);
        let reply = self.tables[to].next_message(&wanted);
        let reply = self.transmit(reply)?;
        self.tables[from].receive(reply, self.now);
        Ok(())
    }

    /// Encodes and decodes a message, and counts it.
    fn transmit(
        &mut self,
        message: Gossip<NodeLocation>,
    ) -> Result<Gossip<NodeLocation>, CodecError> {
        let bytes = encode(&NodeRequest::Gossip(message))?;
        self.messages += 1;
        self.bytes += (bytes.len() + FRAMING_BYTES) as u64;
        match decode(&bytes)? {
            NodeRequest::Gossip(message) => Ok(message),
            other => unreachable!("an encoded gossip message was decoded as {other:?}"),
        }
    }

    /// The largest heartbeat age in any table.
    fn max_heartbeat_age(&self) -> Duration {
        self.tables.iter().map(|t| t.max_heartbeat_age(self.now)).max().unwrap_or_default()
    }

    /// Returns the time until all tables know that a node drains, through gossip rounds alone.
    fn draining_delay(&mut self) -> Result<Duration, CodecError> {
        let since = self.now;
        self.tables[0].set_state(NodeState::Draining);
        let name = self.tables[0].own().name.clone();
        let knows = |t: &Table| t.get(&name).is_some_and(|n| n.state == NodeState::Draining);
        while !self.tables[1..].iter().all(knows) {
            self.round()?;
        }
        Ok(self.now - since)
    }

    /// Returns the time until all tables consider a dead node failed.
    fn failure_delay(&mut self) -> Result<Duration, CodecError> {
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

    /// The size of the encoded table of one node.
    fn state_bytes(&self) -> Result<usize, CodecError> {
        let all: Vec<_> = self.tables[0].view(self.now).map(|(member, _)| member).collect();
        Ok(encode(&all)?.len())
    }
}

/// The record of a node with plausible values, so that its encoded size is realistic.
fn member(index: usize) -> MemberRecord<NodeLocation> {
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

/// The index of a node, from its name.
fn node_index(name: &str) -> usize {
    name.trim_start_matches("node-").parse().unwrap_or_default()
}
