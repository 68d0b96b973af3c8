//! Claims without sockets: several owners and requesters with one platform, compared with a model
//! that is one map.
#![allow(clippy::unwrap_used)]

mod components;
mod golden;
mod world;

use mulberrycourse::decide::claim::{AttemptState, CachedAnswer};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use world::{CallResult, Fate, World};

/// One step of a schedule. Indices are taken modulo the number of candidates.
#[derive(Debug, Clone)]
enum Op {
    /// A caller sends a call to `node`, which considers `owner` the owner.
    Call { node: usize, owner: usize, key: u8, body: u8 },
    /// A call to the platform that is in progress ends.
    EndPlatformCall { which: usize, fate: Fate },
    /// A call to the platform whose sender gave up is executed.
    ExecuteDelayed(usize),
    /// This many milliseconds pass.
    Advance(u64),
    /// A node is paused, or resumed.
    TogglePause(usize),
    /// A node restarts with empty memory.
    Restart(usize),
    /// A requester gives up waiting for its decision.
    GiveUp(usize),
    /// A granted call ends: 0 if it ran, 1 if it did not run and 2 if that is unknown.
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
        6 => Just(Fate::Answered),
        2 => Just(Fate::ReplyLost),
        1 => Just(Fate::Unsent),
        1 => Just(Fate::RequestLost),
        1 => Just(Fate::Delayed),
        1 => (1_usize..4).prop_map(Fate::Stale),
    ]
}

fn op() -> impl Strategy<Value = Op> {
    let any = 0_usize..64;
    prop_oneof![
        6 => (0_usize..3, 0_usize..3, 0_u8..3, 0_u8..5).prop_map(|(node, owner, key, body)| {
            // Mostly the same body, sometimes another one.
            Op::Call { node, owner, key, body: u8::from(body == 0) }
        }),
        12 => (any.clone(), fate()).prop_map(|(which, fate)| Op::EndPlatformCall { which, fate }),
        2 => any.clone().prop_map(Op::ExecuteDelayed),
        6 => prop_oneof![Just(5_u64), Just(90), Just(1_100), Just(5_000)].prop_map(Op::Advance),
        2 => (0_usize..3).prop_map(Op::TogglePause),
        1 => (0_usize..3).prop_map(Op::Restart),
        1 => any.clone().prop_map(Op::GiveUp),
        4 => (any, 0_u8..3).prop_map(|(which, end)| Op::Finish { which, end }),
    ]
}

fn apply(world: &mut World, op: &Op) {
    match *op {
        Op::Call { node, owner, key, body } => world.call(node, owner, key, body),
        Op::EndPlatformCall { which, fate } => world.end_platform_call(which, fate),
        Op::ExecuteDelayed(which) => world.execute_delayed(which),
        Op::Advance(ms) => world.advance(ms),
        Op::TogglePause(node) => world.toggle_pause(node),
        Op::Restart(node) => world.restart(node),
        Op::GiveUp(which) => world.give_up(which),
        Op::Finish { which, end } => world.finish(which, end),
    }
}

proptest! {
    #![proptest_config(config())]

    /// Differing views of who the owner is, paused and restarted nodes, lost and delayed commits
    /// and stale reads, in any order: no key is granted while an earlier grant may have run, and no
    /// caller gets the answer to another body. The model checks every grant. Afterwards the faults
    /// end and a new key is granted.
    #[test]
    fn no_key_is_granted_twice(ops in prop::collection::vec(op(), 1..160)) {
        let mut world = World::new();
        for op in &ops {
            apply(&mut world, op);
            prop_assert_eq!(&world.violations, &Vec::<String>::new());
        }
        world.recover();
        world.call(0, 0, 200, 0);
        world.settle();
        prop_assert_eq!(&world.violations, &Vec::<String>::new());
        prop_assert_eq!(world.result(200), Some(CallResult::Granted), "{:#?}", world);
    }

    /// Without faults, each result is the one of the model, whichever nodes consider themselves the
    /// owner.
    #[test]
    fn results_match_the_model(
        calls in prop::collection::vec((0_usize..3, 0_usize..3, 0_u8..3, 0_u8..2, 0_u8..3), 1..40)
    ) {
        let mut world = World::new();
        let mut model: std::collections::BTreeMap<u8, (u8, u8)> = Default::default();
        for (node, owner, key, body, end) in calls {
            world.call(node, owner, key, body);
            world.settle_except_granted();
            let expected = match model.get(&key) {
                Some((first_body, _)) if *first_body != body => CallResult::KeyReused,
                Some((_, 0)) => CallResult::Answer(body),
                Some(_) => CallResult::Unknown,
                None => CallResult::Granted,
            };
            prop_assert_eq!(world.result(key), Some(expected.clone()), "{:#?}", world);
            if expected == CallResult::Granted {
                world.finish(0, end);
                if end != 1 {
                    model.insert(key, (body, end));
                }
            }
            world.settle();
        }
        prop_assert_eq!(&world.violations, &Vec::<String>::new());
    }
}

/// The state of an attempt that ran with the answer to `body`.
fn answer(body: u8) -> AttemptState {
    AttemptState::Ran(Some(CachedAnswer { status: 200, content_type: None, body: vec![body] }))
}
