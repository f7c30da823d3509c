//! Budget for the memory that many calls buffer together.

use std::cell::Cell;
use std::rc::Rc;

/// Number of bytes that reservations may hold together, for calls that share one thread.
#[derive(Debug)]
pub struct ByteBudget {
    free_bytes: Cell<usize>,
}

/// Bytes taken from a [`ByteBudget`]; dropping it returns them.
#[derive(Debug)]
pub struct ByteReservation {
    budget: Rc<ByteBudget>,
    bytes: usize,
}

impl ByteBudget {
    /// Creates a budget of `bytes`, all of them free.
    pub fn new(bytes: usize) -> Rc<Self> {
        Rc::new(Self {
            free_bytes: Cell::new(bytes),
        })
    }

    /// Returns the number of bytes that no reservation holds.
    pub fn free_bytes(&self) -> usize {
        self.free_bytes.get()
    }
}

impl ByteReservation {
    /// Creates a reservation that holds no bytes yet.
    pub fn new(budget: Rc<ByteBudget>) -> Self {
        Self { budget, bytes: 0 }
    }

    /// Changes the reservation to `bytes`. Returns false, and leaves it as it is, if the budget has
    /// too few bytes left.
    #[must_use]
    pub fn resize(&mut self, bytes: usize) -> bool {
        let available = self.budget.free_bytes.get() + self.bytes;
        if bytes > available {
            return false;
        }
        self.budget.free_bytes.set(available - bytes);
        self.bytes = bytes;
        true
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        let free_bytes = self.budget.free_bytes.get();
        self.budget.free_bytes.set(free_bytes + self.bytes);
    }
}
