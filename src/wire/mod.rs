//! Wire types generated from `schema/messages.proto`, for frames, log records, settings and the
//! table file. Domain types convert from and to them; nothing else in the crate uses them.
#![allow(missing_docs, clippy::all)]

include!("ebonyspread.rs");
