//! A clairvoyant upper bound on goodput.
//!
//! All engines are modelled as one that can be divided without loss, has no roles and runs any work in any order.
//! Each request costs the minimum work ([`min_work`]): every step has a full batch, prompt tokens are prefilled in
//! steps that run anyway, and a prefix that appeared earlier in the trace isn't prefilled again. Work that arrives and
//! is due within an interval and exceeds the capacity of the live engines in it misses its deadline under any schedule.
//! The excess of disjoint intervals adds up, and the bound uses the disjoint intervals with the largest sum. An
//! interval contains the whole work of a request that arrives and is due in it, and the prefill of one whose first
//! token is due in it. No scheduler exceeds this bound; whether one can reach it is unknown.
//!
//! [`min_work`]: crate::trace::EngineSpeed::min_work

use std::collections::HashSet;

use super::report::weight;
use crate::trace::{Fault, Request, Trace, Work};

/// Upper bound on the goodput of any policy on a trace, as a share of the offered work.
#[must_use]
pub fn bound(trace: &Trace) -> f64 {
    let offered_work: f64 = trace.requests.iter().map(|it| weight(trace, it)).sum();
    if offered_work == 0.0 {
        return 1.0;
    }
    let intervals = intervals(trace);
    let missed_work = max_excess_work(trace, &intervals);
    (1.0 - missed_work / offered_work).clamp(0.0, 1.0)
}

/// Work, in microseconds of an engine, that arrives in second `from` and is due by second `to`.
#[derive(Debug, Clone, Copy)]
struct WorkInterval {
    from: usize,
    to: usize,
    work: f64,
}

/// Two intervals for each completion: its prefill, due with the first token, and its decoding, due with the last
/// token. The work is divided between them, so that the two together are never more than the whole.
fn intervals(trace: &Trace) -> Vec<WorkInterval> {
    let speed = trace.header.deployment.speed;
    let mut seen_prefixes = HashSet::new();
    let mut intervals = Vec::new();
    for request in &trace.requests {
        let class = &trace.header.classes[usize::from(request.class)];
        if class.work != Work::Completion {
            continue;
        }
        let uncached = uncached_tokens(request, &mut seen_prefixes);
        let prefill_work = speed.min_work(uncached, 0);
        let decode_work = speed.min_work(0, request.output_tokens);
        let from = f64::from(request.at_ms) / 1e3;
        let deadline = from + class.class.deadline().as_secs_f64();
        let first_token_due =
            class.class.targets.first_token.map_or(deadline, |it| from + it.as_secs_f64());
        let last_token_due = class.class.targets.between_tokens.map_or(deadline, |it| {
            // The mean gap must meet the target: the last token is due one target per output token after the first.
            (first_token_due + it.as_secs_f64() * f64::from(request.output_tokens)).min(deadline)
        });
        let interval = |due: f64, work: f64| WorkInterval {
            from: from as usize,
            to: due.ceil() as usize,
            work,
        };
        intervals.push(interval(first_token_due.min(deadline), prefill_work));
        intervals.push(interval(last_token_due, decode_work));
    }
    intervals
}

/// Prompt tokens to prefill if each prefix is computed once in the trace.
fn uncached_tokens(request: &Request, seen_prefixes: &mut HashSet<u32>) -> u32 {
    let is_new = request.prefix_tokens > 0 && seen_prefixes.insert(request.prefix);
    if is_new { request.prompt_tokens } else { request.prompt_tokens - request.prefix_tokens }
}

/// Maximum total excess of work over capacity in disjoint intervals, in microseconds of an engine.
fn max_excess_work(trace: &Trace, intervals: &[WorkInterval]) -> f64 {
    let horizon = intervals.iter().map(|it| it.to).max().unwrap_or(0) + 1;
    let capacity = cumulative_capacity(trace, horizon);
    let mut by_deadline: Vec<Vec<WorkInterval>> = vec![Vec::new(); horizon + 1];
    for interval in intervals {
        by_deadline[interval.to].push(*interval);
    }
    // max_excess[t]: the maximum total excess of disjoint intervals that end by second t.
    let mut max_excess = vec![0.0_f64; horizon + 1];
    // work_within[from]: the work that arrives from `from` on and is due by second `to`.
    let mut work_within = vec![0.0_f64; horizon + 1];
    for to in 1..=horizon {
        for interval in &by_deadline[to] {
            for sum in &mut work_within[..=interval.from] {
                *sum += interval.work;
            }
        }
        max_excess[to] = max_excess[to - 1];
        for from in 0..to {
            let excess = work_within[from] - (capacity[to] - capacity[from]);
            max_excess[to] = max_excess[to].max(max_excess[from] + excess);
        }
    }
    max_excess[horizon]
}

/// Total capacity of the live engines from the start to each second, in microseconds of an engine.
fn cumulative_capacity(trace: &Trace, horizon: usize) -> Vec<f64> {
    let loss_times_ms: Vec<u64> = trace
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
        // An engine that is lost within a second counts as live until the end of that second.
        let lost_engines = loss_times_ms.iter().filter(|it| **it <= second as u64 * 1_000).count();
        sum += (trace.header.deployment.engines.len() - lost_engines) as f64 * 1e6;
        sums.push(sum);
    }
    sums
}
