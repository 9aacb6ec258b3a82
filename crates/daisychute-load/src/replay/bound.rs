//! A clairvoyant upper bound on goodput.
//!
//! All engines are taken as one that splits without loss, never changes its role and can run any work in any order.
//! Each request takes the least that an engine can spend on it ([`least_work`]): a full batch in each step, prompt
//! tokens that ride along in steps that are made anyway, and no prefix that came before in the trace computed
//! twice. Work in a span of time beyond what all living engines give in it is missed whatever is decided, so that
//! the excess over disjoint spans adds up; the bound takes the disjoint spans with the greatest sum. A span holds
//! the whole of a request that arrives and is due in it, and the prompt of one whose first token is due in it.
//! No scheduler gets above it; whether one can reach it is not known.
//!
//! [`least_work`]: crate::trace::EngineSpeed::least_work

use std::collections::HashSet;

use super::report::weight;
use crate::trace::{Fault, Request, Trace, Work};

/// The greatest goodput that any policy can reach on a trace, as a part of the work that is offered.
#[must_use]
pub fn bound(trace: &Trace) -> f64 {
    let offered: f64 = trace.requests.iter().map(|it| weight(trace, it)).sum();
    if offered == 0.0 {
        return 1.0;
    }
    let pieces = pieces(trace);
    let missed = most_excess(trace, &pieces);
    (1.0 - missed / offered).clamp(0.0, 1.0)
}

/// Work that arrives in one second and is due by the end of another.
#[derive(Debug, Clone, Copy)]
struct Piece {
    from: usize,
    to: usize,
    work: f64,
}

/// For each request its output, due with its last token, and its prompt, due with its first token. The prompt stands as
/// what it has before the whole is due, so that both together never count for more than the whole.
fn pieces(trace: &Trace) -> Vec<Piece> {
    let speed = trace.header.deployment.speed;
    let mut seen = HashSet::new();
    let mut pieces = Vec::new();
    for request in &trace.requests {
        let class = &trace.header.classes[usize::from(request.class)];
        if class.work != Work::Completion {
            continue;
        }
        let uncached = uncached_tokens(request, &mut seen);
        let prompt = speed.least_work(uncached, 0);
        let rest = speed.least_work(0, request.output_tokens);
        let from = f64::from(request.at_ms) / 1e3;
        let end = from + class.class.deadline().as_secs_f64();
        let first = class.class.targets.first_token.map_or(end, |it| from + it.as_secs_f64());
        let last = class.class.targets.between_tokens.map_or(end, |it| {
            // The mean gap keeps the target, so that the last token is due so long after the first.
            (first + it.as_secs_f64() * f64::from(request.output_tokens)).min(end)
        });
        let span =
            |due: f64, work: f64| Piece { from: from as usize, to: due.ceil() as usize, work };
        pieces.push(span(first.min(end), prompt));
        pieces.push(span(last, rest));
    }
    pieces
}

fn uncached_tokens(request: &Request, seen: &mut HashSet<u32>) -> u32 {
    let is_new = request.prefix_tokens > 0 && seen.insert(request.prefix);
    if is_new { request.prompt_tokens } else { request.prompt_tokens - request.prefix_tokens }
}

/// The greatest sum of excess over disjoint spans, in microseconds of an engine.
fn most_excess(trace: &Trace, pieces: &[Piece]) -> f64 {
    let horizon = pieces.iter().map(|it| it.to).max().unwrap_or(0) + 1;
    let capacity = capacity(trace, horizon);
    let mut due: Vec<Vec<Piece>> = vec![Vec::new(); horizon + 1];
    for piece in pieces {
        due[piece.to].push(*piece);
    }
    // best[t]: the greatest excess over disjoint spans that end by second t.
    let mut best = vec![0.0_f64; horizon + 1];
    // within[from]: the work that arrives from `from` on and is due by the second in hand.
    let mut within = vec![0.0_f64; horizon + 1];
    for to in 1..=horizon {
        for piece in &due[to] {
            for sum in &mut within[..=piece.from] {
                *sum += piece.work;
            }
        }
        best[to] = best[to - 1];
        for from in 0..to {
            let excess = within[from] - (capacity[to] - capacity[from]);
            best[to] = best[to].max(best[from] + excess);
        }
    }
    best[horizon]
}

/// What all living engines give from the start to each second, in microseconds of an engine.
fn capacity(trace: &Trace, horizon: usize) -> Vec<f64> {
    let lost: Vec<u64> = trace
        .header
        .faults
        .iter()
        .map(|it| match it {
            Fault::EngineLost { at_ms, .. } => *at_ms,
        })
        .collect();
    let mut sum = 0.0;
    let mut sums = vec![0.0];
    for second in 0..horizon {
        // An engine lost within a second counts as there to its end.
        let gone = lost.iter().filter(|it| **it <= second as u64 * 1_000).count();
        sum += (trace.header.deployment.engines.len() - gone) as f64 * 1e6;
        sums.push(sum);
    }
    sums
}
