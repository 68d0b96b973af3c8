//! Tests of the queue of live requests and reward calls.
#![allow(clippy::unwrap_used)]

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use mulberrycourse::decide::load::{CallDecision, CallQueue, CallRequest};
use mulberrycourse::decide::{Class, Fleet, ListedReplica, ReplicaOutcome};
use mulberrycourse::edge::replica::{ReplicaLoad, Target};
use mulberrycourse::error::{Kind, RunStatus};
use mulberrycourse::{Moment, Name};

const SLOTS: u32 = 6;
/// Requests that a node sends to a replica of [`SLOTS`] slots before others wait.
const CAPACITY: u32 = 9;
const WORK: Duration = Duration::from_millis(25);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// When the tests begin. Reports at 0 are old by then.
const START: Moment = Duration::from_secs(100);

/// A fleet of plain replicas that have answered once, with their load.
fn new_fleet(replicas: usize) -> Fleet {
    let mut fleet = Fleet::new("z".into());
    for i in 0..replicas {
        let address = SocketAddr::from(([10, 0, 0, 1], 80));
        fleet.upsert(ListedReplica {
            target: Target { id: id(i), address, started_ms: None },
            service: "plain".into(),
            zone: "z".into(),
            slots: SLOTS,
            draining: false,
            spot: false,
            versions: Vec::new(),
        });
        fleet.start_call(&id(i), Moment::ZERO);
        fleet.report_load(
            &id(i),
            ReplicaLoad { running: 1, waiting: 0, slowdown: None },
            Moment::ZERO,
        );
        fleet.end_call(&id(i), answered(), Moment::ZERO);
    }
    fleet
}

fn id(replica: usize) -> Name {
    format!("p{replica:04}").into()
}

fn answered() -> ReplicaOutcome {
    ReplicaOutcome::Answered { duration: WORK, cost: 1 }
}

fn live(organisation: &str, deadline: Moment) -> CallRequest {
    CallRequest {
        organisation: organisation.into(),
        class: Class::Live,
        priority: 1,
        order: deadline,
        deadline,
        avoid: Vec::new(),
        apart: false,
    }
}

fn reward(deadline: Moment) -> CallRequest {
    CallRequest { class: Class::Training, order: START, ..live("", deadline) }
}

/// A queue with its fleet, whose calls are numbered.
struct Service {
    queue: CallQueue<u32>,
    fleet: Fleet,
    sent: Vec<(u32, Name)>,
    refused: Vec<(u32, Kind, Duration)>,
}

impl Service {
    fn new(replicas: usize) -> Self {
        let (queue, fleet) = (CallQueue::new("plain".into(), 7), new_fleet(replicas));
        Self { queue, fleet, sent: Vec::new(), refused: Vec::new() }
    }

    /// A service whose replicas all run as many calls of this node as they may.
    fn full(replicas: usize) -> Self {
        let mut service = Self::new(replicas);
        (0..replicas).for_each(|i| service.fill(i));
        service
    }

    fn fill(&mut self, replica: usize) {
        (0..CAPACITY).for_each(|_| self.fleet.start_call(&id(replica), START));
    }

    fn submit(&mut self, number: u32, request: CallRequest, now: Moment) {
        self.queue.submit(request, number, &mut self.fleet, now);
        self.collect();
    }

    /// Ends one call at a replica, which makes room for another.
    fn end_one(&mut self, replica: usize, now: Moment) {
        self.fleet.end_call(&id(replica), answered(), now);
        self.queue.assign(&mut self.fleet, now);
        self.collect();
    }

    fn tick(&mut self, now: Moment) {
        self.queue.tick(&mut self.fleet, now);
        self.collect();
    }

    fn collect(&mut self) {
        for (number, decision) in self.queue.take_decisions() {
            match decision {
                CallDecision::Send(target) => self.sent.push((number, target.id)),
                CallDecision::Refuse(refusal) => {
                    assert_eq!(refusal.run(), RunStatus::NotRun);
                    self.refused.push((number, refusal.kind, refusal.retry_after.unwrap()));
                }
            }
        }
    }

    fn sent_numbers(&self) -> Vec<u32> {
        self.sent.iter().map(|(number, _)| *number).collect()
    }
}

/// Guards against calls that wait although a replica has a free slot, and against ones that are
/// refused there because little time is left.
#[test]
fn a_call_is_sent_at_once_while_a_replica_has_room() {
    let mut service = Service::new(4);
    for number in 0..4 * SLOTS {
        service.submit(number, live("", START + ms(1)), START);
    }
    assert_eq!(service.sent.len(), 24);
    assert!(service.refused.is_empty());
    let per_replica = |i| service.sent.iter().filter(|(_, replica)| *replica == id(i)).count();
    assert!((0..4).all(|i| per_replica(i) == 6), "{:?}", service.sent);
}

/// Guards against calls that pile up at a replica, where they can't be ordered or refused.
#[test]
fn calls_wait_while_all_replicas_are_full() {
    let mut service = Service::full(2);
    service.submit(1, live("", START + ms(800)), START);
    service.submit(2, live("", START + ms(800)), START);
    assert_eq!(service.queue.len(), 2);
    service.end_one(1, START + ms(5));
    assert_eq!(service.sent, [(1, id(1))]);
    service.end_one(0, START + ms(6));
    assert_eq!(service.sent_numbers(), [1, 2]);
}

/// Guards against lookups that wait behind all reward calls of a step, and against reward calls
/// that wait for as long as there are lookups.
#[test]
fn live_requests_are_first_and_reward_calls_keep_a_minimum_share() {
    let mut service = Service::full(2);
    (100..140).for_each(|n| service.submit(n, reward(START + ms(3_000)), START));
    (0..40).for_each(|n| service.submit(n, live("", START + ms(3_000)), START));
    (0..40).for_each(|n| service.end_one(n % 2, START + ms(n as u64)));
    let rewards = service.sent.iter().filter(|(n, _)| *n >= 100).count();
    assert!((8..=12).contains(&rewards), "{rewards} reward calls of 40");
    assert!(service.sent[0].0 < 100);
}

/// Guards against an organisation that sends a hundred times its share and delays all others.
#[test]
fn an_organisation_with_many_waiting_requests_does_not_delay_others() {
    let mut service = Service::full(2);
    (0..100).for_each(|n| service.submit(n, live("large", START + ms(5_000)), START));
    service.submit(100, live("small", START + ms(5_000)), START);
    (0..3).for_each(|n| service.end_one(0, START + ms(n)));
    assert!(service.sent_numbers().contains(&100), "{:?}", service.sent);
}

/// Guards against an urgent route that gets no more than others.
#[test]
fn an_urgent_route_has_a_larger_share() {
    let mut service = Service::full(2);
    let with_priority = |priority| CallRequest { priority, ..live("", START + ms(5_000)) };
    (0..20).for_each(|n| service.submit(n, with_priority(2), START));
    (100..120).for_each(|n| service.submit(n, with_priority(0), START));
    (0..15).for_each(|n| service.end_one(0, START + ms(n)));
    let urgent = service.sent.iter().filter(|(n, _)| *n >= 100).count();
    assert!((11..=13).contains(&urgent), "{urgent} of 15");
}

/// Guards against requests that miss their deadline behind others that have more time.
#[test]
fn requests_of_an_organisation_are_sent_in_the_order_of_their_deadlines() {
    let mut service = Service::full(2);
    for (number, deadline) in [(1, 3_000), (2, 800), (3, 1_500)] {
        service.submit(number, live("", START + ms(deadline)), START);
    }
    (0..3).for_each(|n| service.end_one(0, START + ms(n)));
    assert_eq!(service.sent_numbers(), [2, 3, 1]);
}

/// Guards against requests that are held until near their deadline, and against refused clients
/// that all return at the same time.
#[test]
fn a_request_that_can_not_be_in_time_is_refused_on_arrival() {
    let mut service = Service::full(1);
    // One slot is granted every 100 ms, so that the estimate is ten per second.
    (0..12).for_each(|n| service.submit(n, reward(START + ms(60_000)), START));
    (1..=10).for_each(|n| service.end_one(0, START + ms(100 * n)));
    let now = START + ms(1_000);
    (100..200).for_each(|n| service.submit(n, live("", now + ms(2_000)), now));
    let waiting = service.queue.len();
    assert!((5..=20).contains(&waiting), "{waiting} wait");
    assert!(service.refused.len() >= 80);
    assert!(service.refused.iter().all(|(_, kind, _)| *kind == Kind::DeadlineUnreachable));
    let delays: HashSet<u128> = service.refused.iter().map(|(.., d)| d.as_millis()).collect();
    assert!(delays.len() > 40, "{} different times", delays.len());
    let after = |i: usize| service.refused[i].2;
    assert!(after(60) > 2 * after(0), "{:?} {:?}", after(0), after(60));
}

/// Guards against a request that waits until its deadline because slots became rarer after it
/// arrived.
#[test]
fn a_request_whose_wait_gets_too_long_is_refused_while_time_is_left() {
    let mut service = Service::full(1);
    (0..40).for_each(|n| service.submit(n, live("", START + ms(800)), START));
    assert_eq!(service.queue.len(), 40);
    // No slot is granted, but the first ones in the queue may get the next.
    (1..50).for_each(|n| service.tick(START + ms(10 * n)));
    assert!(service.queue.len() <= 10, "{} still wait", service.queue.len());
    (50..78).for_each(|n| service.tick(START + ms(10 * n)));
    assert_eq!((service.queue.len(), service.refused.len()), (0, 40));
}

/// Guards against reward calls that are refused and count as failures of their sample.
#[test]
fn the_wait_of_a_reward_call_ends_only_when_an_answer_would_be_late() {
    let mut service = Service::full(1);
    (0..500).for_each(|n| service.submit(n, reward(START + ms(2_000)), START));
    (1..195).for_each(|n| service.tick(START + ms(10 * n)));
    assert_eq!((service.queue.len(), service.refused.len()), (500, 0));
    service.tick(START + ms(1_990));
    assert!(service.queue.is_empty());
    assert!(service.refused.iter().all(|(_, kind, _)| *kind == Kind::DeadlineUnreachable));
}

/// Guards against a queue that grows without bound, and against an organisation that fills it and
/// has the requests of others refused.
#[test]
fn the_organisation_with_the_most_waiting_requests_is_refused_when_too_many_wait() {
    let mut service = Service::full(200);
    (0..600).for_each(|n| service.submit(n, live("large", START + ms(60_000)), START));
    assert_eq!(service.queue.len(), 512);
    assert!(service.refused.iter().all(|(_, kind, _)| *kind == Kind::QueueFull));
    service.refused.clear();
    service.submit(1_000, live("small", START + ms(60_000)), START);
    assert_eq!(service.queue.len(), 512);
    assert_eq!(service.refused.len(), 1);
    assert_eq!(service.refused[0].1, Kind::OverShare);
    assert!(service.refused[0].0 < 600);
}

/// Guards against a node that holds its requests because of what other nodes once had at the
/// replicas.
#[test]
fn a_report_of_the_load_of_others_loses_its_weight_within_a_fraction_of_a_second() {
    for replicas in [2, 100] {
        let mut service = Service::new(replicas);
        for i in 0..replicas {
            let load = ReplicaLoad { running: SLOTS, waiting: 30, slowdown: None };
            service.fleet.report_load(&id(i), load, START);
        }
        service.submit(1, live("", START + ms(800)), START);
        assert_eq!(service.queue.len(), 1, "{replicas}");
        service.tick(START + ms(100));
        assert!(service.sent.is_empty(), "{replicas}");
        service.tick(START + ms(201));
        assert_eq!(service.sent_numbers(), [1], "{replicas}");
        let mut old = Service::new(replicas);
        for i in 0..replicas {
            let load = ReplicaLoad { running: SLOTS, waiting: 30, slowdown: None };
            old.fleet.report_load(&id(i), load, START - Duration::from_secs(60));
        }
        old.submit(1, live("", START + ms(800)), START);
        assert_eq!(old.sent_numbers(), [1], "{replicas}");
    }
}

/// Guards against a replica whose figures are wrong and that gets nothing because of them, and
/// against an overflow in their sum.
#[test]
fn a_figure_beyond_what_a_replica_can_have_is_ignored() {
    let mut service = Service::new(2);
    for i in 0..2 {
        let load = ReplicaLoad { running: u32::MAX, waiting: u32::MAX, slowdown: None };
        service.fleet.report_load(&id(i), load, START);
    }
    (0..2 * SLOTS).for_each(|n| service.submit(n, live("", START + ms(800)), START));
    assert_eq!(service.sent.len(), 12);
}

/// Guards against a replica that reports no load, beside others that do, and gets either nothing or
/// everything.
#[test]
fn a_replica_that_reports_no_load_gets_as_many_requests_as_its_slots_and_queue_hold() {
    let mut service = Service::new(1);
    let listed = service.fleet.get(&id(0)).unwrap().clone();
    let target = Target { id: id(1), ..listed.target.clone() };
    service.fleet.upsert(ListedReplica { target, ..listed });
    service.fleet.report_no_load(&id(1));
    (0..40).for_each(|n| service.submit(n, live("", START + ms(60_000)), START));
    let count = |i| service.sent.iter().filter(|(_, replica)| *replica == id(i)).count() as u32;
    assert_eq!((count(0), count(1)), (CAPACITY, CAPACITY));
}

/// Guards against calls to services that report no load, which are sent as before.
#[test]
fn calls_wait_only_on_plain_services_that_report_their_load() {
    let mut fleet = Fleet::new("z".into());
    let listed = new_fleet(1).get(&id(0)).unwrap().clone();
    fleet.upsert(listed.clone());
    assert!(!fleet.queues_calls("plain"));
    fleet.report_no_load(&id(0));
    assert!(!fleet.queues_calls("plain"));
    fleet.report_load(&id(0), ReplicaLoad { running: 1, waiting: 0, slowdown: None }, START);
    assert!(fleet.queues_calls("plain"));
    let (service, target) = ("engines".into(), Target { id: id(9), ..listed.target.clone() });
    fleet.upsert(ListedReplica { service, target, versions: vec![("m".into(), 1)], ..listed });
    fleet.report_load(&id(9), ReplicaLoad { running: 1, waiting: 0, slowdown: None }, START);
    assert!(!fleet.queues_calls("engines"));
}

/// Guards against the request of a client that has gone keeping its place.
#[test]
fn a_cancelled_call_is_not_sent() {
    let mut service = Service::full(1);
    let request = live("", START + ms(800));
    let ticket = service.queue.submit(request.clone(), 1, &mut service.fleet, START).unwrap();
    service.submit(2, request, START);
    assert!(service.queue.cancel(ticket));
    service.end_one(0, START + ms(5));
    assert_eq!(service.sent_numbers(), [2]);
    assert!(!service.queue.cancel(ticket));
}

/// Guards against calls that wait for replicas that are gone.
#[test]
fn waiting_calls_are_refused_when_no_replica_is_left() {
    for replicas in [2, 100] {
        let mut service = Service::full(replicas);
        service.submit(1, live("", START + ms(800)), START);
        service.submit(2, reward(START + ms(2_000)), START);
        (0..replicas).for_each(|i| assert!(service.fleet.remove(&id(i))));
        service.tick(START + ms(10));
        let kinds: Vec<_> = service.refused.iter().map(|(n, kind, _)| (*n, *kind)).collect();
        assert_eq!(kinds.len(), 2, "{replicas}");
        assert!(kinds.iter().all(|(_, kind)| *kind == Kind::NoUpstream));
    }
}

/// Guards against refusals while replicas are lost that the others could have answered in time.
#[test]
fn calls_go_to_the_replicas_that_are_left_when_dozens_are_lost() {
    let mut service = Service::full(40);
    (0..30).for_each(|n| service.submit(n, live("", START + ms(800)), START));
    (2..40).for_each(|i| assert!(service.fleet.remove(&id(i))));
    let mut now = START;
    for n in 0..30 {
        now += ms(3);
        service.end_one(n % 2, now);
        service.tick(now);
    }
    assert_eq!((service.sent.len(), service.refused.len()), (30, 0));
    assert!(service.sent.iter().all(|(_, replica)| *replica == id(0) || *replica == id(1)));
}

/// Guards against a decision that looks at every replica, and against one that costs more with
/// more waiting callers.
#[test]
fn a_decision_looks_at_few_replicas_however_many_there_are() {
    for (replicas, callers) in [(300, 100), (3_000, 100), (3_000, 1_000)] {
        let mut service = Service::full(replicas);
        let deadline = START + Duration::from_secs(600);
        // The first search finds all replicas full.
        service.submit(0, reward(deadline), START);
        let before = service.fleet.visited_replicas();
        let mut number = 0;
        for round in 0..1_000_usize {
            number += 1;
            let caller = format!("c{}", round % callers);
            service.submit(number, live(&caller, deadline), START + ms(round as u64));
            service.end_one(round * 7 % replicas, START + ms(round as u64));
        }
        assert_eq!(service.sent.len(), 1_000);
        let visits = service.fleet.visited_replicas() - before;
        // Each round has a call that arrives, one that ends, and one that is sent, and looks at the
        // first replica of the service for its number of slots.
        assert!(visits <= 1_000 * 16, "{visits} visits, {replicas} replicas, {callers} callers");
    }
}

/// Guards against a request that queues at a replica of a large fleet while another has a free slot.
#[test]
fn a_large_fleet_uses_all_slots_before_any_queue() {
    let mut service = Service::new(100);
    (0..100 * SLOTS).for_each(|n| service.submit(n, live("", START + ms(800)), START));
    let mut counts = HashMap::new();
    service.sent.iter().for_each(|(_, replica)| *counts.entry(replica.clone()).or_insert(0) += 1);
    assert_eq!(service.sent.len(), 600);
    assert!(counts.values().all(|count| *count == SLOTS), "{counts:?}");
    (600..900).for_each(|n| service.submit(n, live("", START + ms(800)), START));
    assert_eq!(service.sent.len(), 900);
    service.submit(900, live("", START + ms(800)), START);
    assert_eq!(service.queue.len(), 1);
}

/// Guards against a choice among thousands of replicas that looks at all of them while some have
/// room.
#[test]
fn a_direct_choice_looks_at_few_replicas() {
    for replicas in [300, 3_000] {
        let mut service = Service::new(replicas);
        for n in 0..100 {
            let before = service.fleet.visited_replicas();
            service.submit(n, live("", START + ms(800)), START);
            let visits = service.fleet.visited_replicas() - before;
            assert!(visits <= 110, "{visits} visits for call {n} at {replicas} replicas");
        }
        assert_eq!(service.sent.len(), 100);
    }
}

/// Runs calls one after another at replica 0, each of which takes `duration` and reports 2 requests
/// per slot at its end. Returns when the last one ended.
fn run_calls_with_full_reports(service: &mut Service, count: u32, duration: Duration) -> Moment {
    let mut now = START;
    for _ in 0..count {
        service.fleet.start_call(&id(0), now);
        now += duration;
        let load = ReplicaLoad { running: SLOTS, waiting: SLOTS, slowdown: None };
        service.fleet.report_load(&id(0), load, now);
        let end = ReplicaOutcome::Answered { duration, cost: 1 };
        service.fleet.end_call(&id(0), end, now);
    }
    now
}

/// Guards against a replica that always reports to be full, and gets a few calls per 200 ms because
/// of it.
#[test]
fn a_full_report_does_not_count_while_calls_end_in_the_usual_time() {
    let mut service = Service::new(1);
    let now = run_calls_with_full_reports(&mut service, 20, WORK);
    (0..SLOTS).for_each(|n| service.submit(n, live("", now + ms(800)), now));
    assert_eq!(service.sent.len(), SLOTS as usize);
}

/// Guards against a true report that is ignored: calls take longer, were answered just as a burst
/// of others arrived, or are slow again after a time in which reports were false.
#[test]
fn a_full_report_counts_unless_calls_contradict_it_for_long() {
    let mut slow = Service::new(1);
    let mut now = run_calls_with_full_reports(&mut slow, 200, 2 * WORK);
    slow.submit(1, live("", now + ms(800)), now);
    assert!(slow.sent.is_empty());

    let mut burst = Service::new(1);
    (0..SLOTS).for_each(|_| burst.fleet.start_call(&id(0), START));
    for _ in 0..SLOTS {
        let load = ReplicaLoad { running: SLOTS, waiting: 4 * SLOTS, slowdown: None };
        burst.fleet.report_load(&id(0), load, START + WORK);
        burst.fleet.end_call(&id(0), answered(), START + WORK);
    }
    burst.submit(1, live("", START + ms(800)), START + WORK);
    assert!(burst.sent.is_empty());

    let mut changed = Service::new(1);
    run_calls_with_full_reports(&mut changed, 20, WORK);
    now = run_calls_with_full_reports(&mut changed, 1, 2 * WORK);
    changed.submit(1, live("", now + ms(800)), now);
    assert!(changed.sent.is_empty());
}

/// Guards against calls that are sent again and again to replicas that have just said that they are
/// full.
#[test]
fn calls_wait_while_all_replicas_say_that_they_are_full() {
    for replicas in [1, 2, 100] {
        let mut service = Service::new(replicas);
        for i in 0..replicas {
            service.fleet.start_call(&id(i), START);
            service.fleet.end_call(&id(i), ReplicaOutcome::Full, START);
        }
        service.submit(1, live("", START + ms(800)), START + ms(1));
        assert!(service.sent.is_empty(), "{replicas}");
        service.tick(START + ms(90));
        assert!(service.sent.is_empty(), "{replicas}");
        service.tick(START + ms(101));
        assert_eq!(service.sent_numbers(), [1], "{replicas}");
    }
}

/// Guards against calls that are refused because the only replica that accepts work said once that
/// it is full.
#[test]
fn calls_wait_for_a_full_replica_beside_a_draining_one() {
    let mut service = Service::new(2);
    let listed = service.fleet.get(&id(1)).unwrap().clone();
    service.fleet.upsert(ListedReplica { draining: true, ..listed });
    service.fleet.start_call(&id(0), START);
    service.fleet.end_call(&id(0), ReplicaOutcome::Full, START);
    (1..=2).for_each(|n| service.submit(n, live("", START + ms(800)), START + ms(1)));
    service.tick(START + ms(10));
    assert_eq!((service.queue.len(), service.refused.len()), (2, 0));
    service.tick(START + ms(101));
    assert_eq!(service.sent, [(1, id(0)), (2, id(0))]);
}

/// Guards against live requests that are told to retry after half a minute because the waits of
/// many reward calls have ended.
#[test]
fn reward_calls_whose_wait_ends_do_not_delay_the_retries_of_live_requests() {
    let mut service = Service::full(1);
    (0..500).for_each(|n| service.submit(n, reward(START + ms(2_000)), START));
    service.tick(START + ms(1_990));
    assert_eq!(service.refused.len(), 500);
    service.refused.clear();
    service.submit(500, live("", START + ms(2_001)), START + ms(2_000));
    assert_eq!(service.refused.len(), 1);
    let after = service.refused[0].2;
    assert!(after <= ms(2_000), "{after:?}");
}

/// Guards against a request that is refused because of calls ahead of it that have left the queue.
#[test]
fn calls_that_left_the_queue_do_not_count_as_ahead() {
    let mut service = Service::full(1);
    let request = live("", START + ms(800));
    let tickets: Vec<_> = (0..40)
        .map(|n| service.queue.submit(request.clone(), n, &mut service.fleet, START).unwrap())
        .collect();
    tickets[..39].iter().for_each(|ticket| assert!(service.queue.cancel(*ticket)));
    (1..70).for_each(|n| service.tick(START + ms(10 * n)));
    assert_eq!((service.queue.len(), service.refused.len()), (1, 0));
    service.end_one(0, START + ms(700));
    assert_eq!(service.sent_numbers(), [39]);
}

/// Guards against a call that is refused although a place has just become free and its deadline has
/// not passed.
#[test]
fn a_waiting_call_is_sent_until_its_deadline() {
    let mut service = Service::full(1);
    service.submit(1, live("", START + ms(40)), START);
    service.submit(2, live("", START + ms(41)), START);
    service.submit(3, live("", START + ms(42)), START);
    assert_eq!(service.queue.len(), 3);
    service.end_one(0, START + ms(30));
    assert_eq!(service.sent_numbers(), [1]);
    service.end_one(0, START + ms(41));
    assert_eq!(service.sent_numbers(), [1, 3]);
    assert_eq!(service.refused[0].0, 2);
}

/// Returns the calls that a replica with this number of slots gets at first.
fn first_calls(slots: u32) -> usize {
    let mut service = Service::new(1);
    let listed = service.fleet.get(&id(0)).unwrap().clone();
    service.fleet.remove(&id(0));
    service.fleet.upsert(ListedReplica { slots, ..listed });
    service.fleet.report_load(
        &id(0),
        ReplicaLoad { running: 0, waiting: 0, slowdown: None },
        START,
    );
    (0..40).for_each(|n| service.submit(n, live("", START + ms(60_000)), START));
    service.sent.len()
}

/// Guards against small replicas that get more than 1.5 calls per slot, rounded up, before anything
/// is known of their latency.
#[test]
fn replicas_with_few_slots_get_one_and_a_half_calls_per_slot_at_first() {
    assert_eq!([1, 2, 3, 4, 6].map(first_calls), [2, 3, 5, 6, 9]);
}

/// Guards against a limit that was found for a larger number of slots than a replica has now.
#[test]
fn fewer_slots_of_a_listed_replica_lower_its_limit() {
    let mut service = Service::new(1);
    (0..2 * SLOTS).for_each(|_| service.fleet.start_call(&id(0), START));
    for _ in 0..200 {
        service.fleet.end_call(&id(0), answered(), START);
        service.fleet.start_call(&id(0), START);
    }
    (0..2 * SLOTS).for_each(|_| service.fleet.end_call(&id(0), answered(), START));
    let listed = service.fleet.get(&id(0)).unwrap().clone();
    service.fleet.upsert(ListedReplica { slots: 2, ..listed });
    (0..20).for_each(|n| service.submit(n, live("", START + ms(60_000)), START));
    assert_eq!(service.sent.len(), 4);
}
