//! Claims without sockets: several homes and askers over one platform, against a
//! naive version that is one map.
#![allow(clippy::unwrap_used)]

mod golden;
mod parts;
mod world;

use mulberrycourse::decide::claim::{AttemptState, CachedAnswer};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use world::{Fate, Told, World};

/// One step of a schedule. Numbers are taken modulo what there is.
#[derive(Debug, Clone)]
enum Op {
    /// A caller asks at `node`, which takes `home` for the home.
    Ask { node: usize, home: usize, key: u8, body: u8 },
    /// A call to the platform that is under way ends.
    Platform { which: usize, fate: Fate },
    /// A swap that was given up on arrives after all.
    Late(usize),
    /// Milliseconds pass.
    Pass(u64),
    /// A node stands still, or goes on.
    Pause(usize),
    /// A node dies and starts anew, with nothing in memory.
    Restart(usize),
    /// An asker gives up waiting for its verdict.
    GiveUp(usize),
    /// A granted call ends.
    Finish { which: usize, end: u8 },
}

/// The same cases every time.
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
        1 => (1_usize..4).prop_map(Fate::Behind),
    ]
}

fn op() -> impl Strategy<Value = Op> {
    let any = 0_usize..64;
    prop_oneof![
        6 => (0_usize..3, 0_usize..3, 0_u8..3, 0_u8..5).prop_map(|(node, home, key, body)| {
            // Mostly the same body, now and then another one.
            Op::Ask { node, home, key, body: u8::from(body == 0) }
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
        Op::Ask { node, home, key, body } => world.ask(node, home, key, body),
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

    /// Two and three homes at once by differing views, pauses, restarts, lost, late and
    /// vanished commits, replicas that are behind, in any order: no key is granted while
    /// an earlier grant may have run, and no caller gets another body's answer. The naive
    /// map checks every grant. Afterwards the faults end and a new key is granted.
    #[test]
    fn never_granted_twice(ops in prop::collection::vec(op(), 1..160)) {
        let mut world = World::new();
        for op in &ops {
            play(&mut world, op);
            prop_assert_eq!(&world.wrong, &Vec::<String>::new());
        }
        world.heal();
        world.ask(0, 0, 200, 0);
        world.quiet();
        prop_assert_eq!(&world.wrong, &Vec::<String>::new());
        prop_assert_eq!(world.told(200), Some(Told::Ran), "{:#?}", world);
    }

    /// Without faults, each answer is the one that the naive map gives, whichever node
    /// takes itself for the home.
    #[test]
    fn answers_as_the_naive_map(
        asks in prop::collection::vec((0_usize..3, 0_usize..3, 0_u8..3, 0_u8..2, 0_u8..3), 1..40)
    ) {
        let mut world = World::new();
        let mut naive: std::collections::BTreeMap<u8, (u8, u8)> = Default::default();
        for (node, home, key, body, end) in asks {
            world.ask(node, home, key, body);
            world.quiet_but_calls();
            let expected = match naive.get(&key) {
                Some((other, _)) if *other != body => Told::Reused,
                Some((_, 0)) => Told::Answer(body),
                Some(_) => Told::Unknown,
                None => Told::Ran,
            };
            prop_assert_eq!(world.told(key), Some(expected.clone()), "{:#?}", world);
            if expected == Told::Ran {
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

/// What an attempt says when it ran with an answer, as the worlds build it.
fn answer(body: u8) -> AttemptState {
    AttemptState::Ran(Some(CachedAnswer { status: 200, content_type: None, body: vec![body] }))
}
