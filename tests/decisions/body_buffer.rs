//! Memory for the kept starts of many response bodies.

use ebonyspread::body_buffer::BODY_KEPT_MAX_BYTES;
use ebonyspread::body_buffer::BODY_UNRESERVED_BYTES;
use ebonyspread::body_buffer::BodyBuffer;
use ebonyspread::byte_budget::ByteBudget;
use ebonyspread::byte_budget::ByteReservation;

const BUDGET_BYTES: usize = 4 << 20;
const PART_BYTES: usize = 10_000;

fn push_until_full(buffer: &mut BodyBuffer) {
    while buffer.push(&[b'x'; PART_BYTES]) {}
}

#[test]
fn endless_body_is_kept_up_to_the_limit() {
    let budget = ByteBudget::new(BUDGET_BYTES);
    let mut buffer = BodyBuffer::new(ByteReservation::new(budget));
    push_until_full(&mut buffer);
    assert!(buffer.len() > BODY_KEPT_MAX_BYTES);
    assert!(buffer.len() <= BODY_KEPT_MAX_BYTES + PART_BYTES);
}

#[test]
fn endless_bodies_of_many_calls_are_kept_up_to_the_budget() {
    let budget = ByteBudget::new(BUDGET_BYTES);
    let mut buffers = Vec::new();
    for _ in 0..200 {
        let mut buffer = BodyBuffer::new(ByteReservation::new(budget.clone()));
        push_until_full(&mut buffer);
        buffers.push(buffer);
    }
    let kept: usize = buffers.iter().map(BodyBuffer::len).sum();
    let unreserved = buffers.len() * (BODY_UNRESERVED_BYTES + PART_BYTES);
    assert!(kept <= BUDGET_BYTES + unreserved, "{kept}");
    drop(buffers);
    assert_eq!(budget.free_bytes(), BUDGET_BYTES);
}

#[test]
fn small_body_is_kept_whole_while_large_ones_hold_the_budget() {
    let budget = ByteBudget::new(0);
    let mut buffer = BodyBuffer::new(ByteReservation::new(budget));
    assert!(buffer.push(&[b'x'; BODY_UNRESERVED_BYTES]));
}

#[test]
fn parts_are_taken_in_the_order_in_which_they_were_pushed() {
    let budget = ByteBudget::new(BUDGET_BYTES);
    let mut buffer = BodyBuffer::new(ByteReservation::new(budget.clone()));
    let mut pushed = Vec::new();
    for number in 0..90_u8 {
        let part = vec![number; usize::from(number) * 100];
        assert!(buffer.push(&part));
        pushed.extend_from_slice(&part);
    }
    assert_eq!(buffer.len(), pushed.len());
    let mut taken = Vec::new();
    while let Some(part) = buffer.pop() {
        taken.extend_from_slice(&part);
    }
    assert!(taken == pushed);
    assert!(buffer.is_empty());
    assert_eq!(budget.free_bytes(), BUDGET_BYTES);
}
