//! The chains of a service's engines: in each, one engine swaps weights at a time.

use crate::Name;
use crate::decide::rendezvous_rank;

/// The engines of a service in chains, the same at every node with the same list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SwapChains {
    chains: Vec<Vec<Name>>,
}

impl SwapChains {
    /// Divides engines into chains so that at most `percent` of them swap at once,
    /// but at least one. The order is by hash, so that a chain spreads over
    /// availability zones and owners.
    pub fn new(service: &str, engines: &[Name], percent: u32) -> Self {
        let count = (engines.len() * percent as usize / 100).max(1);
        let mut chains = vec![Vec::new(); count];
        let ranked = rendezvous_rank(service, engines.iter().map(|e| &**e));
        for (position, name) in ranked.into_iter().enumerate() {
            chains[position % count].push(Name::from(name));
        }
        Self { chains }
    }

    /// The chain of an engine; empty if the engine is in none.
    pub fn of(&self, engine: &str) -> &[Name] {
        let found = self.chains.iter().find(|chain| chain.iter().any(|e| &**e == engine));
        found.map_or(&[], Vec::as_slice)
    }

    /// Number of chains, which is the most engines that swap at once.
    pub fn len(&self) -> usize {
        self.chains.len()
    }

    /// Whether there are no chains.
    pub fn is_empty(&self) -> bool {
        self.chains.is_empty()
    }
}
