//! A fleet of real entry VM processes on loopback behind fault-injecting proxies.

#![allow(dead_code, unreachable_pub)]

pub mod balancer;
pub mod fleet;
pub mod http;
pub mod net;
pub mod ports;
pub mod wait;
