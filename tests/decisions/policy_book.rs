//! The policy in force never goes back, and serves keys only while it is proved to be the newest.

use std::sync::Arc;
use std::time::Duration;

use ebonyspread::policy::Policy;
use ebonyspread::policy_book::PolicyBook;

const AGE_MAX: Duration = Duration::from_secs(4);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn book(version: u64) -> PolicyBook {
    let mut book = PolicyBook::default();
    assert!(book.offer(Arc::new(Policy::new(version))));
    book
}

#[test]
fn older_or_equal_version_is_not_taken() {
    let mut book = book(5);
    assert!(!book.offer(Arc::new(Policy::new(4))));
    assert!(!book.offer(Arc::new(Policy::new(5))));
    assert!(book.offer(Arc::new(Policy::new(9))));
    assert_eq!(book.in_force().unwrap().version, 9);
}

#[test]
fn policy_without_a_proof_serves_nobody() {
    let book = book(1);
    assert!(book.fresh(seconds(10), AGE_MAX).is_err());
}

#[test]
fn age_counts_from_the_start_of_the_read() {
    let mut book = book(1);
    book.prove(seconds(10));
    assert!(book.fresh(seconds(14), AGE_MAX).is_ok());
    assert!(
        book.fresh(seconds(14) + Duration::from_millis(1), AGE_MAX)
            .is_err()
    );
}

#[test]
fn later_answer_of_an_earlier_read_does_not_make_it_older() {
    let mut book = book(1);
    book.prove(seconds(12));
    book.prove(seconds(10));
    assert_eq!(book.age(seconds(13)), Some(seconds(1)));
}

#[test]
fn peer_vouches_only_for_the_same_version() {
    let mut book = book(2);
    book.prove(seconds(1));
    assert!(!book.prove_by_peer(3, seconds(9)));
    assert!(book.fresh(seconds(9), AGE_MAX).is_err());
    assert!(book.prove_by_peer(2, seconds(8)));
    assert!(book.fresh(seconds(9), AGE_MAX).is_ok());
}
