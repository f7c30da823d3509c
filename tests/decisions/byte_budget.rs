//! Reservations of calls that share one budget of bytes.

use ebonyspread::byte_budget::ByteBudget;
use ebonyspread::byte_budget::ByteReservation;

#[test]
fn reservations_do_not_exceed_the_budget() {
    let budget = ByteBudget::new(100);
    let mut first = ByteReservation::new(budget.clone());
    let mut second = ByteReservation::new(budget.clone());
    assert!(first.resize(60));
    assert!(second.resize(40));
    assert!(!second.resize(41));
    assert_eq!(budget.free_bytes(), 0);
    assert!(first.resize(59));
    assert!(second.resize(41));
}

#[test]
fn dropped_reservation_returns_its_bytes() {
    let budget = ByteBudget::new(100);
    let mut reservation = ByteReservation::new(budget.clone());
    assert!(reservation.resize(70));
    drop(reservation);
    assert_eq!(budget.free_bytes(), 100);
}
