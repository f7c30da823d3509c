//! Finds the request, or the part of requests, that crashes every backend server that runs it, and
//! refuses requests with it.
//!
//! The fault patterns that this is designed for: one request that its callers send again and again,
//! or requests that share one part and are otherwise different, arrive at any instance; each
//! crashes the server that runs it, together with many sound requests there. The cause is found by
//! elimination. Each request that breaks off with a server is reported with its parts: the request
//! as a whole (the call), and parts that other requests may have, such as those of a prompt. A part
//! that others may have is cleared of all earlier crashes when a server sends the first event of an
//! answer on it, and is not reported of a request that breaks off later; the call is cleared by a
//! complete answer. What no answer has cleared and enough crashes have in common is refused.
//!
//! Many sound requests break off at each crash, and two causes at once share innocent parts, such as
//! a common first part. The part whose last answer is the longest ago, and of several the one with
//! the most crashes, explains its crashes, and these do not count against any other part.
//!
//! Servers that are lost at the same moment, as with a data centre, have a common part among the
//! requests that wait there, which is not the cause. So such crashes count as one for a part that
//! other requests may have, unless an answer had begun. Copies of one call may well crash several
//! servers at the same time.
//!
//! A fixed number of crashes is no evidence where many servers crash for other reasons: with enough
//! requests, some break off that often by chance. So each crash counts by the chance that a request
//! without any influence would have met it: the fraction of the service's servers that crashed while
//! the request ran and did not run it. A part is refused once the product of these chances is as
//! small as [`CRASHES_TO_REFUSE`] crashes make it that no other server shared. Crashes that are not
//! at the same moment make a chance of at most [`SPREAD_CHANCE_MAX`], so that the chance of a wrong
//! refusal is larger than that product while more of the servers than this crash beside a request.
//!
//! Sound requests may be refused if servers crash for another reason several times in a row and no
//! answer comes between. So one request is tried after a while, by the instance that saw the last
//! crash: an answer ends the refusal, a crash doubles the time until the next trial.
//!
//! Instances exchange the reports, so that all of them reach the same decision. The state does no
//! I/O. It survives no restart of all instances at once, after which the cause has to crash
//! [`CRASHES_TO_REFUSE`] servers again.

use super::*;

use std::cmp::Reverse;

/// Crashes, at times at which no other server crashed, after which a part is refused on which no
/// server is known to have answered.
pub const CRASHES_TO_REFUSE: usize = 3;

/// Crashes, without an answer since the first of them, after which a part is refused on which
/// servers have answered before.
pub const CRASHES_TO_REFUSE_ANSWERED: usize = 5;

/// Smallest chance that a crash is assumed to have of meeting a request that did not cause it, since
/// crashes of which no instance has reported are not known.
pub const CHANCE_MIN: f64 = 0.01;

/// Crashes within this time of each other count as one for a part that other requests may have and
/// whose answer had not begun.
pub const SAME_TIME: Duration = Duration::from_millis(100);

/// Time before and after a crash over which the rate of crashes is taken.
const RATE_TIME: Duration = Duration::from_secs(5);

/// Largest chance that crashes are assumed to have that are not at the same moment. Where several
/// causes crash the few servers that are left, each would otherwise hide behind the others.
const SPREAD_CHANCE_MAX: f64 = 0.1;

/// Factor for the rounding of products of chances.
const CHANCE_ROUNDING: f64 = 1.000_001;

/// Time after the last crash for which parts are refused. The next crash afterwards, within
/// [`REPORT_TTL`], refuses them again.
pub const REFUSAL_TIME: Duration = Duration::from_secs(600);

/// Time after the last crash at which one request is tried, if the refusal rests on
/// [`CRASHES_TO_REFUSE`] crashes. Each further crash doubles it.
pub const TRIAL_DELAY: Duration = Duration::from_secs(30);

/// Time after which a report is dropped.
pub const REPORT_TTL: Duration = Duration::from_secs(3_600);

/// Maximum number of reports; the oldest that explain no refusal are dropped first.
pub const REPORTS_MAX: usize = 512;

/// Number of reports that are kept when there are more than [`REPORTS_MAX`].
const REPORTS_KEPT: usize = REPORTS_MAX * 3 / 4;

/// Maximum number of requests that an instance reports of one crash. A model server runs about a
/// hundred requests of all instances together.
const OWN_REPORTS_PER_CRASH_MAX: usize = 32;

/// Maximum number of reports that are kept for one refusal.
const REPORTS_PER_REFUSAL_MAX: usize = 8;

/// Maximum number of parts whose last answer is remembered; then the older half is dropped.
const ANSWERED_MAX: usize = 8_192;

/// Time for which a new or changed report is sent in every round of digests. In this time an
/// instance sends it to more than a hundred peers, each of which sends it on.
const NEWS_TIME: Duration = Duration::from_secs(2);

/// Reports that are no longer news are sent only in one of this many rounds, for instances that
/// have started since.
const OLD_REPORT_ROUNDS: u64 = 8;

/// Maximum number of reports in one digest, about 50 bytes each.
pub const REPORTS_PER_DIGEST_MAX: usize = 24;

/// Parts whose combination crashes servers; requests that have all of them are refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Refusal {
    /// Number of servers that crashed.
    pub crashes: usize,
    /// Time of the last crash by the clock of this instance.
    #[serde(skip)]
    pub last_crash_at: Duration,
    /// Parts that all crashed requests had in common and that nothing has cleared.
    #[serde(serialize_with = "serialize_parts")]
    pub parts: SuspectParts,
}

impl Refusal {
    /// Returns true if a report is about a request that has all of the parts.
    fn covers(&self, report: &CrashReport) -> bool {
        self.parts.iter().all(|part| report.parts.contains(part))
    }

    fn matches(&self, now: Duration, parts: &[PartHash]) -> bool {
        let is_current = now.saturating_sub(self.last_crash_at) < REFUSAL_TIME;
        is_current && self.parts.iter().all(|part| parts.contains(part))
    }
}

fn serialize_parts<S: serde::Serializer>(
    parts: &SuspectParts,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_str(&format_parts(parts))
}

/// Beginning or end of a refusal, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RefusalChange {
    /// Requests with these parts are refused from now on.
    Begun(Refusal),
    /// They are accepted again, or the parts of the refusal have changed.
    Ended(Refusal),
}

#[derive(Debug)]
struct KnownReport {
    /// Time at which this instance received it or one of its parts was cleared.
    changed_at: Duration,
    /// True if this instance saw the crash.
    is_own: bool,
    report: CrashReport,
    /// Time of the last trial after the crash; that of the crash if there was none.
    tried_at: Duration,
}

/// Reports of all instances, and the parts that are refused because of them.
#[derive(Debug, Default)]
pub struct PartQuarantine {
    /// Last time at which a server began to answer on a part, as this instance saw it.
    answered_at: HashMap<PartHash, Duration>,
    refusals: Vec<Refusal>,
    reports: Vec<KnownReport>,
}

impl PartQuarantine {
    /// Records that a server sent the first event of an answer to a request with these parts, which
    /// clears them and not the request as a whole.
    pub fn record_first_event(&mut self, now: Duration, shared: &[PartHash]) -> Vec<RefusalChange> {
        self.record_answer(now, shared, 0)
    }

    /// Records that a server answered a request with these parts in full. `whole` is the hash of the
    /// whole request, which is remembered only if it is suspected; 0 if it is not cleared.
    pub fn record_answer(
        &mut self,
        now: Duration,
        shared: &[PartHash],
        whole: PartHash,
    ) -> Vec<RefusalChange> {
        let mut is_suspected = false;
        for known in &self.reports {
            let parts = &known.report.parts;
            is_suspected |= parts.iter().any(|part| shared.contains(part));
            if parts.contains(&whole) {
                is_suspected = true;
                self.answered_at.insert(whole, now);
            }
        }
        for part in shared {
            self.answered_at.insert(*part, now);
        }
        self.limit_answered();
        match is_suspected {
            true => self.update(now),
            false => Vec::new(),
        }
    }

    /// Records a crash that this instance saw. Of one crash, only the first
    /// [`OWN_REPORTS_PER_CRASH_MAX`] requests are kept.
    pub fn record_crash(&mut self, now: Duration, report: CrashReport) -> Vec<RefusalChange> {
        let id = report.id;
        let is_same = |known: &&KnownReport| known.is_own && known.report.crash == report.crash;
        if self.reports.iter().filter(is_same).count() >= OWN_REPORTS_PER_CRASH_MAX {
            return Vec::new();
        }
        let changes = self.merge(now, vec![report]);
        for known in &mut self.reports {
            known.is_own |= known.report.id == id;
        }
        changes
    }

    /// Applies the reports of a peer's digest. Parts that the peer has cleared are cleared here,
    /// too.
    pub fn merge(&mut self, now: Duration, reports: Vec<CrashReport>) -> Vec<RefusalChange> {
        let mut is_changed = false;
        for report in reports {
            let known = self.reports.iter_mut().find(|k| k.report.id == report.id);
            let Some(known) = known else {
                // Otherwise instances would tell each other without end of a report that all of
                // them have dropped.
                if report.parts.is_empty() {
                    continue;
                }
                // Otherwise it explains nothing yet; answers clear it with the next digest.
                is_changed |= self.has_part_of(&report) || self.reports.len() >= REPORTS_MAX;
                self.reports.push(KnownReport {
                    changed_at: now,
                    is_own: false,
                    tried_at: report.at,
                    report,
                });
                continue;
            };
            known.report.at = known.report.at.min(report.at);
            let count = known.report.parts.len();
            known
                .report
                .parts
                .retain(|part| report.parts.contains(part));
            if known.report.parts.len() < count {
                known.changed_at = now;
                is_changed = true;
            }
        }
        match is_changed {
            true => self.update(now),
            false => Vec::new(),
        }
    }

    /// Returns true if a report of another crash has a part of this one.
    fn has_part_of(&self, report: &CrashReport) -> bool {
        let mut others = self.reports.iter().map(|known| &known.report);
        others.any(|other| {
            let mut parts = other.parts.iter();
            other.crash != report.crash && parts.any(|part| report.parts.contains(part))
        })
    }

    /// Returns the refusal that a request with these parts falls under.
    pub fn refusal(&self, now: Duration, parts: &[PartHash]) -> Option<&Refusal> {
        self.refusals
            .iter()
            .find(|refusal| refusal.matches(now, parts))
    }

    /// Returns true if a request that falls under a refusal is to be tried, which counts as its
    /// trial. Only the instance that saw the last crash tries one, so that it is the only one.
    pub fn begin_trial(&mut self, now: Duration, refusal: &Refusal) -> bool {
        let reports = self.reports.iter_mut();
        let last = reports
            .filter(|known| refusal.covers(&known.report))
            .max_by_key(|known| known.report.at);
        let Some(last) = last else {
            return false;
        };
        let doublings = refusal.crashes.saturating_sub(CRASHES_TO_REFUSE).min(8);
        let delay = (TRIAL_DELAY * (1 << doublings)).min(REFUSAL_TIME);
        if !last.is_own || now.saturating_sub(last.tried_at) < delay {
            return false;
        }
        last.tried_at = now;
        true
    }

    /// Returns what is refused now.
    pub fn refusals(&self, now: Duration) -> impl Iterator<Item = &Refusal> {
        let is_current = move |r: &&Refusal| now.saturating_sub(r.last_crash_at) < REFUSAL_TIME;
        self.refusals.iter().filter(is_current)
    }

    /// Clears a part at an operator's request, here and, by the next digests, at all instances.
    /// Requests with it are accepted until they crash servers again. Returns no change if the part
    /// is not refused.
    pub fn release(&mut self, now: Duration, part: PartHash) -> Vec<RefusalChange> {
        let is_refused = self.refusals.iter().any(|r| r.parts.contains(&part));
        if !is_refused {
            return Vec::new();
        }
        // The other parts of the refusal are no more likely to be the cause.
        let mut released: SuspectParts = SuspectParts::new();
        for refusal in &self.refusals {
            if refusal.parts.contains(&part) {
                released.extend_from_slice(&refusal.parts);
            }
        }
        for part in released {
            self.answered_at.insert(part, now);
        }
        self.update(now)
    }

    /// Returns the reports for the digests of this round, at most [`REPORTS_PER_DIGEST_MAX`], and
    /// drops those that have expired.
    pub fn reports_to_send(
        &mut self,
        now: Duration,
        round: u64,
    ) -> (Vec<CrashReport>, Vec<RefusalChange>) {
        let changes = self.update(now);
        let sends_old = round.is_multiple_of(OLD_REPORT_ROUNDS);
        let mut due = Vec::new();
        for known in &self.reports {
            let is_news = now.saturating_sub(known.changed_at) < NEWS_TIME;
            if is_news || sends_old {
                due.push(known.report.clone());
            }
        }
        if due.len() > REPORTS_PER_DIGEST_MAX {
            let first = (round as usize).wrapping_mul(REPORTS_PER_DIGEST_MAX) % due.len();
            due.rotate_left(first);
            // Those with a part that broke off at several crashes first; the others stay in turn.
            let repeated = self.repeated_parts();
            due.sort_by_key(|report| !report.parts.iter().any(|part| repeated.contains(part)));
            due.truncate(REPORTS_PER_DIGEST_MAX);
        }
        (due, changes)
    }

    /// Number of reports held.
    pub fn report_count(&self) -> usize {
        self.reports.len()
    }

    /// Clears parts that were answered since their crash, drops reports that are no longer needed,
    /// and decides anew what is refused.
    fn update(&mut self, now: Duration) -> Vec<RefusalChange> {
        for known in &mut self.reports {
            let at = known.report.at;
            let count = known.report.parts.len();
            let answered_at = &self.answered_at;
            known
                .report
                .parts
                .retain(|part| answered_at.get(part).is_none_or(|answered| *answered <= at));
            if known.report.parts.len() < count {
                known.changed_at = now;
            }
        }
        // A report without parts is kept as long as it is news, so that peers clear theirs.
        self.reports.retain(|known| {
            let is_news = now.saturating_sub(known.changed_at) < NEWS_TIME;
            let is_expired = now.saturating_sub(known.report.at) >= REPORT_TTL;
            !is_expired && (is_news || !known.report.parts.is_empty())
        });
        let before = std::mem::take(&mut self.refusals);
        self.refusals = self.decide();
        self.limit_reports();
        changes(&before, &self.refusals)
    }

    /// Finds the parts that explain the reports, the likeliest cause first.
    fn decide(&self) -> Vec<Refusal> {
        let mut unexplained: Vec<&CrashReport> = self.reports.iter().map(|k| &k.report).collect();
        let mut refusals = Vec::new();
        let mut timeline = CrashTimeline::new(&unexplained);
        if timeline.crashes.len() < CRASHES_TO_REFUSE {
            return refusals;
        }
        while let Some(cause) = self.likeliest_cause(&unexplained, &timeline) {
            let mut parts: Option<SuspectParts> = None;
            let mut crashes: SmallVec<[CrashId; 8]> = SmallVec::new();
            let mut last_crash_at = Duration::ZERO;
            for report in unexplained.iter().filter(|r| r.parts.contains(&cause)) {
                let common = parts.get_or_insert_with(|| report.parts.clone());
                common.retain(|part| report.parts.contains(part));
                if !crashes.contains(&report.crash) {
                    crashes.push(report.crash);
                }
                last_crash_at = last_crash_at.max(report.at);
            }
            unexplained.retain(|report| !crashes.contains(&report.crash));
            timeline.remove(&crashes);
            refusals.push(Refusal {
                crashes: crashes.len(),
                last_crash_at,
                parts: self.without_answered(parts.unwrap_or_default()),
            });
        }
        refusals
    }

    /// Returns the part with enough crashes whose last answer is the longest ago; of several, the
    /// one with the most crashes.
    fn likeliest_cause(
        &self,
        reports: &[&CrashReport],
        timeline: &CrashTimeline,
    ) -> Option<PartHash> {
        let mut report_counts: HashMap<PartHash, usize> = HashMap::new();
        for part in reports.iter().flat_map(|report| &report.parts) {
            *report_counts.entry(*part).or_default() += 1;
        }
        let mut evidence: HashMap<PartHash, Evidence> = HashMap::new();
        for report in reports {
            for part in &report.parts {
                if report_counts[part] >= CRASHES_TO_REFUSE {
                    evidence.entry(*part).or_default().add(report, *part);
                }
            }
        }
        let mut best = None;
        for (part, evidence) in evidence {
            let answered_at = self.answered_at.get(&part).copied();
            let needed = match answered_at {
                Some(_) => CRASHES_TO_REFUSE_ANSWERED,
                None => CRASHES_TO_REFUSE,
            };
            let (count, chance) = evidence.count_and_chance(timeline);
            if chance > CHANCE_MIN.powi(needed as i32) * CHANCE_ROUNDING {
                continue;
            }
            let rank = (answered_at, Reverse(count), part);
            if best.is_none_or(|best| rank < best) {
                best = Some(rank);
            }
        }
        best.map(|(.., part)| part)
    }

    /// Leaves out the parts on which servers have answered before, unless that applies to all.
    fn without_answered(&self, parts: SuspectParts) -> SuspectParts {
        let is_new = |part: &PartHash| !self.answered_at.contains_key(part);
        match parts.iter().any(is_new) {
            true => parts.into_iter().filter(is_new).collect(),
            false => parts,
        }
    }

    fn limit_reports(&mut self) {
        self.reports.sort_by_key(|known| Reverse(known.report.at));
        for refusal in &self.refusals {
            let mut kept = 0;
            self.reports.retain(|known| {
                let is_of_refusal = refusal.covers(&known.report);
                kept += usize::from(is_of_refusal);
                !is_of_refusal || kept <= REPORTS_PER_REFUSAL_MAX
            });
        }
        if self.reports.len() <= REPORTS_MAX {
            return;
        }
        let refusals = &self.refusals;
        let is_covered =
            |report: &CrashReport| refusals.iter().any(|refusal| refusal.covers(report));
        let repeated = self.repeated_parts();
        // Stable: each group stays in the order of time.
        self.reports.sort_by_key(|known| {
            let report = &known.report;
            let is_repeated = report.parts.iter().any(|part| repeated.contains(part));
            Reverse((is_covered(report), is_repeated))
        });
        self.reports.truncate(REPORTS_KEPT);
    }

    /// Returns the parts of requests that broke off at more than one crash.
    fn repeated_parts(&self) -> HashSet<PartHash> {
        let mut first_crash: HashMap<PartHash, CrashId> = HashMap::new();
        let mut repeated = HashSet::new();
        for KnownReport { report, .. } in &self.reports {
            for part in &report.parts {
                if *first_crash.entry(*part).or_insert(report.crash) != report.crash {
                    repeated.insert(*part);
                }
            }
        }
        repeated
    }

    fn limit_answered(&mut self) {
        if self.answered_at.len() <= ANSWERED_MAX {
            return;
        }
        let mut times: Vec<Duration> = self.answered_at.values().copied().collect();
        let (_, median, _) = times.select_nth_unstable(ANSWERED_MAX / 2);
        let median = *median;
        self.answered_at.retain(|_, at| *at > median);
    }
}

/// Crashes that nothing explains yet, in the order of their times.
#[derive(Debug)]
struct CrashTimeline {
    /// Each crash with the hash of its service.
    crashes: Vec<(Duration, CrashId, u64)>,
}

impl CrashTimeline {
    fn new(reports: &[&CrashReport]) -> Self {
        let mut first_reports: HashMap<CrashId, (Duration, u64)> = HashMap::new();
        for report in reports {
            let known = first_reports.entry(report.crash);
            let (at, _) = known.or_insert((report.at, report.service));
            *at = report.at.min(*at);
        }
        let crashes = first_reports.into_iter();
        let mut crashes: Vec<_> = crashes.map(|(id, (at, of))| (at, id, of)).collect();
        crashes.sort_unstable();
        Self { crashes }
    }

    fn remove(&mut self, explained: &[CrashId]) {
        self.crashes.retain(|(_, id, _)| !explained.contains(id));
    }

    /// Returns the chance that a request which ran as long as the one of `met` met a crash, from the
    /// crashes of the service that are not among `own`: those while it ran, and their rate in
    /// [`RATE_TIME`] before and after.
    fn chance(&self, met: &MetCrash, own: &[MetCrash]) -> f64 {
        let before = met.ran_for.max(SAME_TIME);
        let servers = f64::from(met.servers.max(1));
        let at_once = self.count(met, own, SAME_TIME, SAME_TIME) / servers;
        let while_it_ran = self.count(met, own, before, SAME_TIME) / servers;
        let around = self.count(met, own, RATE_TIME, RATE_TIME) / servers;
        let part = (before + SAME_TIME).as_secs_f64() / (RATE_TIME * 2).as_secs_f64();
        let spread = while_it_ran.max(around * part.min(1.0));
        at_once
            .max(spread.min(SPREAD_CHANCE_MAX))
            .clamp(CHANCE_MIN, 1.0)
    }

    fn count(&self, met: &MetCrash, own: &[MetCrash], before: Duration, after: Duration) -> f64 {
        let from = met.at.saturating_sub(before);
        let until = met.at + after;
        let first = self.crashes.partition_point(|(at, ..)| *at < from);
        let mut count = 0;
        for (at, id, service) in &self.crashes[first..] {
            if *at > until {
                break;
            }
            let is_own = own.iter().any(|met| met.crash == *id);
            count += u32::from(*service == met.service && !is_own);
        }
        f64::from(count)
    }
}

/// Crash at which a part was among those of a request that broke off.
#[derive(Debug)]
struct MetCrash {
    at: Duration,
    crash: CrashId,
    /// True if it counts even if others were at the same time.
    is_strong: bool,
    ran_for: Duration,
    servers: u32,
    service: u64,
}

/// Crashes at which a part was among those of a request that broke off.
#[derive(Debug, Default)]
struct Evidence {
    crashes: SmallVec<[MetCrash; 8]>,
}

impl Evidence {
    fn add(&mut self, report: &CrashReport, part: PartHash) {
        let is_strong = report.has_begun || report.call == part;
        let mut known = self.crashes.iter_mut();
        match known.find(|met| met.crash == report.crash) {
            Some(met) => {
                met.is_strong |= is_strong;
                met.ran_for = met.ran_for.max(report.ran_for);
            }
            None => self.crashes.push(MetCrash {
                at: report.at,
                crash: report.crash,
                is_strong,
                ran_for: report.ran_for,
                servers: report.servers,
                service: report.service,
            }),
        }
    }

    /// Returns the number of crashes that count against the part, and the chance that a part without
    /// influence meets all of them.
    fn count_and_chance(mut self, timeline: &CrashTimeline) -> (usize, f64) {
        self.crashes.sort_unstable_by_key(|met| met.at);
        let mut chance = 1.0;
        let mut count = 0;
        let mut counted_at = None;
        for met in &self.crashes {
            let is_apart = counted_at.is_none_or(|counted_at| met.at - counted_at >= SAME_TIME);
            if met.is_strong || is_apart {
                chance *= timeline.chance(met, &self.crashes);
                count += 1;
                counted_at = Some(met.at);
            }
        }
        (count, chance)
    }
}

fn changes(before: &[Refusal], after: &[Refusal]) -> Vec<RefusalChange> {
    let has = |refusals: &[Refusal], parts| refusals.iter().any(|r| r.parts == parts);
    let mut changes = Vec::new();
    for refusal in before {
        if !has(after, refusal.parts.clone()) {
            changes.push(RefusalChange::Ended(refusal.clone()));
        }
    }
    for refusal in after {
        if !has(before, refusal.parts.clone()) {
            changes.push(RefusalChange::Begun(refusal.clone()));
        }
    }
    changes
}
