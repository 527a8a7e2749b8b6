//! The ledger of the tokens that this instance issued: a pure state machine.
//!
//! Serials are issued in order, so the ledger stores two bits for each in blocks: fresh, running,
//! may have run, ran. A block is dropped once its last token has expired and the retention has
//! passed. The number of blocks is bounded, and so is the memory. Results with answers are kept in
//! a separate bounded cache; when one is evicted, its verdict remains.
//!
//! Invariants: at most one request runs under a serial at a time; a serial that ran or may have
//! run never becomes fresh again; expiry prevents a request from starting, and never changes the
//! reported verdict of earlier requests.

use std::collections::VecDeque;
use std::fmt::Write as _;

use oleander_base::prelude::*;
use thiserror::Error;

use crate::answer::{KeptAnswer, KeptResult, ResultCache};
use crate::hash::BodyHash;
use crate::token::BoundToken;

/// The number of tokens in one block.
const BLOCK_TOKENS: u64 = 256;
/// The number of tokens whose states share one 64-bit word.
const WORD_TOKENS: u64 = 32;
const BLOCK_WORDS: usize = (BLOCK_TOKENS / WORD_TOKENS) as usize;

/// Holds the bounds of a token ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerLimits {
    /// How long after its issue a token may start a request.
    pub token_life: Span,
    /// How long after its expiry a token's verdict is kept.
    pub retention: Span,
    /// The maximum number of tokens that are recorded at a time.
    pub tokens: u64,
    /// The maximum size of all kept results, in bytes.
    pub kept_bytes: usize,
    /// The maximum size of a kept answer, in bytes.
    pub answer_bytes: usize,
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self {
            token_life: Span::from_secs(600),
            retention: Span::from_secs(1_800),
            tokens: 1 << 20,
            kept_bytes: 8 << 20,
            answer_bytes: 64 << 10,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SerialState {
    Fresh,
    Running,
    MayHaveRun,
    Ran,
}

impl SerialState {
    fn from_bits(bits: u64) -> Self {
        match bits & 3 {
            0 => Self::Fresh,
            1 => Self::Running,
            2 => Self::MayHaveRun,
            _ => Self::Ran,
        }
    }

    fn after(verdict: Verdict) -> Self {
        match verdict {
            Verdict::NotRun => Self::Fresh,
            Verdict::MayHaveRun => Self::MayHaveRun,
            Verdict::Ran => Self::Ran,
        }
    }
}

#[derive(Debug, Clone)]
struct SerialBlock {
    words: [u64; BLOCK_WORDS],
    expires: MonoTime,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct TokenRun {
    request: RequestId,
    body: BodyHash,
}

/// Tells how to proceed with a request that carries a token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TokenDecision {
    /// The request may run once; its serial is now marked as running.
    Run,
    /// A request with this token is running.
    Running(RequestId),
    /// A request with this token ended, and its result is kept.
    Done(KeptResult),
    /// A request with this token ended, and only its verdict is known.
    Ended(Verdict),
    /// The token has expired, and no request starts with it any more.
    Expired(Verdict),
    /// Another body was sent with this token before.
    BodyMismatch(RequestId),
    /// Another instance issued the token and must decide.
    Foreign(InstanceId),
    /// An earlier process at this address issued it, and that process's memory is lost.
    Gone(InstanceId),
    /// The signature is valid, but this instance never issued the serial.
    Unissued,
}

/// Reports that the ledger holds too many tokens to issue more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the ledger is full; try again in {retry_after}")]
pub struct LedgerFull {
    /// How long until the oldest tokens are dropped.
    pub retry_after: Span,
}

/// Records the states of the tokens that one instance issued.
#[derive(Debug, Clone)]
pub struct TokenLedger {
    me: InstanceId,
    centre: CentreId,
    limits: LedgerLimits,
    first_block: u64,
    blocks: VecDeque<SerialBlock>,
    next_serial: u64,
    running: FastMap<u64, TokenRun>,
    cache: ResultCache<u64>,
}

impl TokenLedger {
    /// Returns the empty ledger of an instance.
    pub fn new(me: InstanceId, centre: CentreId, limits: LedgerLimits) -> Self {
        Self {
            me,
            centre,
            limits,
            first_block: 0,
            blocks: VecDeque::new(),
            next_serial: 0,
            running: FastMap::default(),
            cache: ResultCache::new(limits.kept_bytes, limits.answer_bytes),
        }
    }

    /// Issues `count` tokens to a customer, or none if not all of them fit.
    pub fn issue(
        &mut self,
        customer: CustomerId,
        count: u32,
        now: MonoTime,
    ) -> Result<Vec<BoundToken>, LedgerFull> {
        self.drop_blocks(now);
        let oldest = self.first_block * BLOCK_TOKENS;
        if self.next_serial + u64::from(count) - oldest > self.limits.tokens {
            return Err(self.full(now));
        }
        let tokens = (0..count).map(|_| self.issue_one(customer, now));
        Ok(tokens.collect())
    }

    fn issue_one(&mut self, customer: CustomerId, now: MonoTime) -> BoundToken {
        let serial = self.next_serial;
        let expires = now + self.limits.token_life;
        self.next_serial += 1;
        let index = (serial / BLOCK_TOKENS - self.first_block) as usize;
        if index == self.blocks.len() {
            self.blocks.push_back(SerialBlock {
                words: [0; BLOCK_WORDS],
                expires,
            });
        }
        self.blocks[index].expires = expires;
        BoundToken {
            customer,
            issuer: self.me,
            centre: self.centre,
            serial,
            issued: now.0,
            expires: expires.0,
        }
    }

    fn full(&self, now: MonoTime) -> LedgerFull {
        let oldest = self.blocks.front().map_or(now, |block| block.expires);
        let retry_after = (oldest + self.limits.retention).since(now);
        LedgerFull { retry_after }
    }

    fn drop_blocks(&mut self, now: MonoTime) {
        while let Some(block) = self.blocks.front() {
            let is_partial = (self.first_block + 1) * BLOCK_TOKENS > self.next_serial;
            if is_partial || now.since(block.expires) <= self.limits.retention {
                break;
            }
            self.blocks.pop_front();
            self.first_block += 1;
        }
    }

    /// Decides how to proceed with a request whose token's signature and customer were verified.
    pub fn begin(
        &mut self,
        token: &BoundToken,
        body: BodyHash,
        request: RequestId,
        now: MonoTime,
    ) -> TokenDecision {
        if token.issuer != self.me {
            return self.decide_foreign(token.issuer);
        }
        if token.serial >= self.next_serial {
            return TokenDecision::Unissued;
        }
        if let Some(run) = self.running.get(&token.serial) {
            return match run.body == body {
                true => TokenDecision::Running(run.request),
                false => TokenDecision::BodyMismatch(run.request),
            };
        }
        if let Some(result) = self.cache.get(&token.serial) {
            return match result.body == body {
                true => TokenDecision::Done(result.clone()),
                false => TokenDecision::BodyMismatch(result.request),
            };
        }
        let is_expired = now.0 >= token.expires;
        match self.state(token.serial) {
            None => TokenDecision::Expired(Verdict::MayHaveRun),
            Some(SerialState::Ran) => TokenDecision::Ended(Verdict::Ran),
            Some(SerialState::Running | SerialState::MayHaveRun) => {
                TokenDecision::Ended(Verdict::MayHaveRun)
            }
            Some(SerialState::Fresh) if is_expired => TokenDecision::Expired(Verdict::NotRun),
            Some(SerialState::Fresh) => {
                self.set_state(token.serial, SerialState::Running);
                let run = TokenRun { request, body };
                self.running.insert(token.serial, run);
                TokenDecision::Run
            }
        }
    }

    fn decide_foreign(&self, issuer: InstanceId) -> TokenDecision {
        if issuer.address == self.me.address {
            TokenDecision::Gone(issuer)
        } else {
            TokenDecision::Foreign(issuer)
        }
    }

    /// Records how the running request of a serial ended; `NotRun` makes the token fresh again.
    pub fn finish(&mut self, serial: u64, verdict: Verdict, answer: Option<KeptAnswer>) {
        let Some(run) = self.running.remove(&serial) else {
            return;
        };
        self.set_state(serial, SerialState::after(verdict));
        if verdict != Verdict::NotRun {
            let result = KeptResult {
                request: run.request,
                body: run.body,
                verdict,
                answer,
            };
            self.cache.keep(serial, result);
        }
    }

    /// Returns the kept result of a serial.
    pub fn result(&self, serial: u64) -> Option<&KeptResult> {
        self.cache.get(&serial)
    }

    fn position(&self, serial: u64) -> Option<(usize, usize, u32)> {
        let block = (serial / BLOCK_TOKENS).checked_sub(self.first_block)? as usize;
        let slot = serial % BLOCK_TOKENS;
        let word = (slot / WORD_TOKENS) as usize;
        let shift = (slot % WORD_TOKENS * 2) as u32;
        (block < self.blocks.len()).then_some((block, word, shift))
    }

    fn state(&self, serial: u64) -> Option<SerialState> {
        let (block, word, shift) = self.position(serial)?;
        Some(SerialState::from_bits(
            self.blocks[block].words[word] >> shift,
        ))
    }

    fn set_state(&mut self, serial: u64, state: SerialState) {
        if let Some((block, word, shift)) = self.position(serial) {
            let word = &mut self.blocks[block].words[word];
            *word = (*word & !(3 << shift)) | ((state as u64) << shift);
        }
    }

    /// Checks the ledger's invariants.
    pub fn verify(&self) -> Result<(), String> {
        self.cache.verify()?;
        let first = self.first_block * BLOCK_TOKENS;
        for serial in first..self.next_serial {
            let is_marked = self.state(serial) == Some(SerialState::Running);
            if is_marked != self.running.contains_key(&serial) {
                return Err(format!("serial {serial}: running mark and list differ"));
            }
            if self.running.contains_key(&serial) && self.cache.get(&serial).is_some() {
                return Err(format!("serial {serial}: runs again after its result"));
            }
        }
        if self.next_serial - first > self.limits.tokens {
            return Err("more tokens than the limit".to_owned());
        }
        Ok(())
    }

    /// Returns the ledger's state as text for diagnostics.
    pub fn dump(&self) -> String {
        let mut text = String::new();
        let first = self.first_block * BLOCK_TOKENS;
        let _ = writeln!(
            text,
            "token ledger of {}: serials {first}..{}, running {}, kept {} bytes",
            self.me,
            self.next_serial,
            self.running.len(),
            self.cache.used()
        );
        text
    }
}
