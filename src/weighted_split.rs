//! Splits the requests to a subject (the model or route that they are addressed to) between its
//! variants in proportion to the weights in the table, the operators' list of backend servers,
//! model versions, routes and client accounts. A variant is one model version or route row that can
//! serve the subject; the services of a route in the policy, the operators' configuration of
//! routes, services and accounts, are treated as variants too.
//!
//! Each (account, subject) pair has counters of its own. The next request goes to the variant that
//! is furthest behind its share, so that over any run of requests between two changes of the
//! weights a variant's count differs from its share by less than [`DEVIATION_MAX`] requests for one
//! instance. A conversation keeps its variant while that variant is ahead of its share by less than
//! [`STICKY_MAX`] requests.

use super::*;

/// Upper limit, in requests, of the difference between a variant's count and its share at one
/// instance. It holds without sticky conversations (those that keep their variant) and for up to
/// four variants.
pub const DEVIATION_MAX: i64 = 3;

/// Largest number of requests by which sticky conversations may take a variant ahead of its share.
pub const STICKY_MAX: i64 = 8;

/// Largest number of requests by which a variant's counter shows it behind or ahead of its share,
/// so that a variant that had no usable server for a while is not flooded when it has one again.
const CREDIT_MAX: i64 = 16;

#[derive(Debug, Clone, Default)]
struct SplitState {
    /// Per variant: its share of the requests minus those it served, in units of 1 / sum of
    /// weights.
    credits: SmallVec<[i64; 4]>,
    weights: SmallVec<[i64; 4]>,
}

/// Counters of one instance for each pair of account and subject, by which the variant of the
/// pair's next request is chosen.
#[derive(Debug, Default)]
pub struct WeightedSplitter {
    counters: HashMap<(AccountName, Subject), SplitState>,
    phase_seed: u64,
}

impl WeightedSplitter {
    /// Creates a splitter without counters. Instances with different `phase_seed` start at
    /// different points of the cycle in which the variants are picked, so that the first requests
    /// of an account that sends few do not all go to the variant with the largest weight.
    pub fn new(phase_seed: u64) -> Self {
        Self {
            counters: HashMap::new(),
            phase_seed,
        }
    }

    /// Picks the variant for one request and counts the request against that variant's share.
    ///
    /// `weights` are the variants' traffic weights; the counters start anew when they change.
    /// `usable` tells for each variant whether a request can be sent to it now; `sticky` is the
    /// variant that the conversation used before. Returns `None` if no variant of weight above 0 is
    /// usable.
    pub fn pick(
        &mut self,
        account: &AccountName,
        subject: &Subject,
        weights: &[u32],
        usable: &[bool],
        sticky: Option<usize>,
    ) -> Option<usize> {
        let key = (account.clone(), subject.clone());
        let phase_seed = self.phase_seed;
        let state = self.counters.entry(key).or_default();
        if !state.matches(weights) {
            let phase = phase_hash(phase_seed, account, subject);
            *state = SplitState::new(weights, phase);
        }
        let choice = state.choose(usable, sticky)?;
        state.count(choice);
        Some(choice)
    }

    /// Removes the counters of accounts or subjects that are no longer in the table.
    pub fn retain(&mut self, table: &Table) {
        self.counters.retain(|(account, subject), _| {
            let known = |row: &ClientAccount| row.name == *account;
            table.variants.contains_key(subject) && table.client_accounts.iter().any(known)
        });
    }
}

impl SplitState {
    fn new(weights: &[u32], phase: u64) -> Self {
        let mut state = Self {
            credits: SmallVec::from_elem(0, weights.len()),
            weights: weights.iter().map(|weight| i64::from(*weight)).collect(),
        };
        let sum = state.sum();
        if sum == 0 {
            return state;
        }
        let all = SmallVec::<[bool; 4]>::from_elem(true, weights.len());
        for _ in 0..phase % PHASE_STEPS {
            let Some(choice) = state.choose(&all, None) else {
                break;
            };
            state.count(choice);
        }
        state
    }

    fn matches(&self, weights: &[u32]) -> bool {
        let given = weights.iter().map(|weight| i64::from(*weight));
        self.weights.iter().copied().eq(given)
    }

    fn sum(&self) -> i64 {
        self.weights.iter().sum()
    }

    fn choose(&self, usable: &[bool], sticky: Option<usize>) -> Option<usize> {
        let sum = self.sum();
        if let Some(index) = sticky
            && usable.get(index) == Some(&true)
            && self.weights.get(index).is_some_and(|weight| *weight > 0)
            && self.credits[index] + self.weights[index] > -STICKY_MAX * sum
        {
            return Some(index);
        }
        let mut best: Option<(i64, usize)> = None;
        for (index, weight) in self.weights.iter().enumerate() {
            if *weight == 0 || usable.get(index) != Some(&true) {
                continue;
            }
            let credit = match is_disabled(Safeguard::Shares) {
                true => 0,
                false => self.credits[index],
            };
            let credit_after = credit + weight;
            if best.is_none_or(|(highest, _)| credit_after > highest) {
                best = Some((credit_after, index));
            }
        }
        best.map(|(_, index)| index)
    }

    fn count(&mut self, choice: usize) {
        let sum = self.sum();
        for (credit, weight) in self.credits.iter_mut().zip(&self.weights) {
            *credit += weight;
        }
        self.credits[choice] -= sum;
        let limit = CREDIT_MAX * sum;
        for credit in &mut self.credits {
            *credit = (*credit).clamp(-limit, limit);
        }
    }
}

/// Number of possible starting points in the cycle of picks; a hash of the seed, the account and
/// the subject selects one.
const PHASE_STEPS: u64 = 97;

fn phase_hash(seed: u64, account: &str, subject: &Subject) -> u64 {
    let text = format!("{account}\0{subject}");
    xxh3_64_with_seed(text.as_bytes(), seed)
}
