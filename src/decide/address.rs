//! Which nodes a client is told to use.
//!
//! Load pattern: thousands of clients keep an answer for seconds, and a node, a rack or a
//! zone goes at once. If all get the same list, the clients of what has gone move
//! together and flood the next in the list; if each gets all 380 nodes, an answer has 7 KB
//! and each client opens connections to all. Here each client has its own few nodes,
//! by rendezvous hashing: the same at whichever node it asks, and when a node goes
//! only its clients change one address, each to another node.
//!
//! The answer stays in the region of the node that was asked: the client reached that one,
//! and regions can lose each other. Latency between zones (1.5 ms in the brief) is
//! small beside an answer, so zones are mixed, not preferred.

use super::rendezvous_score;

/// Nodes in an answer. With 8 of 6 zones, an answer of one zone alone is rare, and is
/// mended; a client that finds all 8 gone asks again.
pub const ANSWER: usize = 8;

/// A node that serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Site<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its region.
    pub region: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
}

/// The nodes of `sites` that a client is to use, at most [`ANSWER`], in its own order.
/// `region` is that of the node that answers.
pub fn sites_of<'a>(client: &str, region: &str, sites: &[Site<'a>]) -> Vec<&'a str> {
    let mut ranked: Vec<(bool, u64, Site<'a>)> =
        sites.iter().map(|s| (s.region == region, rendezvous_score(client, s.name), *s)).collect();
    ranked.sort_unstable_by(|a, b| (b.0, b.1, b.2.name).cmp(&(a.0, a.1, a.2.name)));
    let near = ranked.iter().filter(|(near, ..)| *near).count();
    if near > 0 {
        ranked.truncate(near);
    }
    let mut chosen: Vec<Site<'a>> = ranked.iter().take(ANSWER).map(|(.., site)| *site).collect();
    if let (Some(last), Some(other)) = (chosen.last().copied(), elsewhere(&chosen, &ranked)) {
        chosen.retain(|s| *s != last);
        chosen.push(other);
    }
    chosen.into_iter().map(|site| site.name).collect()
}

/// The best site in another zone, if all that are chosen are in one.
fn elsewhere<'a>(chosen: &[Site<'a>], ranked: &[(bool, u64, Site<'a>)]) -> Option<Site<'a>> {
    let zone = chosen.first()?.zone;
    if chosen.iter().any(|site| site.zone != zone) {
        return None;
    }
    ranked.iter().map(|(.., site)| *site).find(|site| site.zone != zone)
}
