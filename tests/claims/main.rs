//! Claims without sockets: several owners and requesters with one platform, compared with a naive
//! model that is one map.
#![allow(clippy::unwrap_used)]

mod golden;
mod parts;
mod world;

use mulberrycourse::decide::claim::{AttemptState, CachedAnswer};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use world::{CallResult, Fate, World};

/// One step of a schedule. Indices are taken modulo the number of candidates.
#[derive(Debug, Clone)]
enum Op {
    /// A caller sends a call to `node`, which considers `owner` the owner.
    Ask { node: usize, owner: usize, key: u8, body: u8 },
    /// A call to the platform that is in progress ends.
    Platform { which: usize, fate: Fate },
    /// A swap that was given up arrives late.
    Late(usize),
    /// This many milliseconds pass.
    Pass(u64),
    /// A node is paused, or resumed.
    Pause(usize),
    /// A node dies and restarts with empty memory.
    Restart(usize),
    /// A requester gives up waiting for its decision.
    GiveUp(usize),
    /// A granted call ends.
    Finish { which: usize, end: u8 },
}

/// A fixed seed, so that every run has the same cases.
fn config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(10);
    ProptestConfig {
        cases: 1_500,
        rng_seed,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        6 => Just(Fate::Good),
        2 => Just(Fate::Lost),
        1 => Just(Fate::Unsent),
        1 => Just(Fate::Vanished),
        1 => Just(Fate::Delayed),
        1 => (1_usize..4).prop_map(Fate::Lagging),
    ]
}

fn op() -> impl Strategy<Value = Op> {
    let any = 0_usize..64;
    prop_oneof![
        6 => (0_usize..3, 0_usize..3, 0_u8..3, 0_u8..5).prop_map(|(node, owner, key, body)| {
            // Mostly the same body, sometimes another one.
            Op::Ask { node, owner, key, body: u8::from(body == 0) }
        }),
        12 => (any.clone(), fate()).prop_map(|(which, fate)| Op::Platform { which, fate }),
        2 => any.clone().prop_map(Op::Late),
        6 => prop_oneof![Just(5_u64), Just(90), Just(1_100), Just(5_000)].prop_map(Op::Pass),
        2 => (0_usize..3).prop_map(Op::Pause),
        1 => (0_usize..3).prop_map(Op::Restart),
        1 => any.clone().prop_map(Op::GiveUp),
        4 => (any, 0_u8..3).prop_map(|(which, end)| Op::Finish { which, end }),
    ]
}

fn play(world: &mut World, op: &Op) {
    match *op {
        Op::Ask { node, owner, key, body } => world.call(node, owner, key, body),
        Op::Platform { which, fate } => world.platform(which, fate),
        Op::Late(which) => world.late(which),
        Op::Pass(ms) => world.pass(ms),
        Op::Pause(node) => world.pause(node),
        Op::Restart(node) => world.restart(node),
        Op::GiveUp(which) => world.give_up(which),
        Op::Finish { which, end } => world.finish(which, end),
    }
}

proptest! {
    #![proptest_config(config())]

    /// Two or three owners at once because of differing views, pauses, restarts, lost, late and
    /// vanished commits, and lagging replicas, in any order: no key is granted while an earlier
    /// grant may have run, and no caller gets the answer to another body. The naive map checks
    /// every grant. Afterwards the faults end and a new key is granted.
    #[test]
    fn never_granted_twice(ops in prop::collection::vec(op(), 1..160)) {
        let mut world = World::new();
        for op in &ops {
            play(&mut world, op);
            prop_assert_eq!(&world.wrong, &Vec::<String>::new());
        }
        world.heal();
        world.call(0, 0, 200, 0);
        world.quiet();
        prop_assert_eq!(&world.wrong, &Vec::<String>::new());
        prop_assert_eq!(world.result(200), Some(CallResult::Ran), "{:#?}", world);
    }

    /// Without faults, each answer is the one of the naive map, whichever nodes consider
    /// themselves the owner.
    #[test]
    fn answers_as_the_naive_map(
        asks in prop::collection::vec((0_usize..3, 0_usize..3, 0_u8..3, 0_u8..2, 0_u8..3), 1..40)
    ) {
        let mut world = World::new();
        let mut naive: std::collections::BTreeMap<u8, (u8, u8)> = Default::default();
        for (node, owner, key, body, end) in asks {
            world.call(node, owner, key, body);
            world.quiet_but_calls();
            let expected = match naive.get(&key) {
                Some((other, _)) if *other != body => CallResult::Reused,
                Some((_, 0)) => CallResult::Answer(body),
                Some(_) => CallResult::Unknown,
                None => CallResult::Ran,
            };
            prop_assert_eq!(world.result(key), Some(expected.clone()), "{:#?}", world);
            if expected == CallResult::Ran {
                world.finish(0, end);
                if end != 1 {
                    naive.insert(key, (body, end));
                }
            }
            world.quiet();
        }
        prop_assert_eq!(&world.wrong, &Vec::<String>::new());
    }
}

/// The state of an attempt that ran with the answer to `body`.
fn answer(body: u8) -> AttemptState {
    AttemptState::Ran(Some(CachedAnswer { status: 200, content_type: None, body: vec![body] }))
}
