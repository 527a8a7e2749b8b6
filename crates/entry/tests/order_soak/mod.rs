//! Parts of the soak of real processes: engines that are killed, gateways, callers, faults and a checker.

#![allow(dead_code, unreachable_pub)]

pub mod answer_reader;
pub mod caller;
pub mod checker;
pub mod checker_tests;
pub mod engine;
pub mod engine_fault;
pub mod engine_slot;
pub mod fleet;
pub mod outcome;
pub mod shape;
pub mod trace;
pub mod trouble;
pub mod trouble_around;
pub mod trouble_doubts;
pub mod trouble_kind;
pub mod trouble_store;
