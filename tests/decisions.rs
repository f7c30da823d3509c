//! Tests of decisions without I/O, driven by the load and fault patterns that they handle.

#![allow(clippy::unwrap_used)]

#[path = "decisions/answer_timeout.rs"]
mod answer_timeout;
#[path = "decisions/body_buffer.rs"]
mod body_buffer;
#[path = "decisions/broken_servers.rs"]
mod broken_servers;
#[path = "decisions/budget.rs"]
mod budget;
#[path = "decisions/byte_budget.rs"]
mod byte_budget;
#[path = "decisions/caller_idle.rs"]
mod caller_idle;
#[path = "decisions/capacity.rs"]
mod capacity;
#[path = "decisions/engine_replay.rs"]
mod engine_replay;
#[path = "decisions/fleet.rs"]
mod fleet;
#[path = "decisions/keyed_view.rs"]
mod keyed_view;
#[path = "decisions/lease.rs"]
mod lease;
#[path = "decisions/overload_admission.rs"]
mod overload_admission;
#[path = "decisions/overload_replay.rs"]
mod overload_replay;
#[path = "decisions/overload_shares.rs"]
mod overload_shares;
#[path = "decisions/part_quarantine.rs"]
mod part_quarantine;
#[path = "decisions/peers.rs"]
mod peers;
#[path = "decisions/policy_state.rs"]
mod policy_state;
#[path = "decisions/prefill_rate.rs"]
mod prefill_rate;
#[path = "decisions/rollout_order.rs"]
mod rollout_order;
#[path = "decisions/rollout_plan.rs"]
mod rollout_plan;
#[path = "decisions/rollout_share.rs"]
mod rollout_share;
#[path = "decisions/rollout_state.rs"]
mod rollout_state;
#[path = "decisions/rollout_tally.rs"]
mod rollout_tally;
#[path = "decisions/rollout_verdict.rs"]
mod rollout_verdict;
#[path = "decisions/room.rs"]
mod room;
#[path = "decisions/router.rs"]
mod router;
#[path = "decisions/server_limit.rs"]
mod server_limit;
#[path = "decisions/server_queue.rs"]
mod server_queue;
#[path = "decisions/server_speed.rs"]
mod server_speed;
#[path = "decisions/sse.rs"]
mod sse;
#[path = "decisions/topic_feed.rs"]
mod topic_feed;
#[path = "decisions/usage_counter.rs"]
mod usage_counter;
#[path = "decisions/usage_limits.rs"]
mod usage_limits;
#[path = "decisions/wall_clock.rs"]
mod wall_clock;
