/// \file report_func.h Text reports of the results of a run.
#ifndef FULMARSTEP_REPORT_FUNC_H
#define FULMARSTEP_REPORT_FUNC_H

#include "bench/history_base.h"
#include "bundle_base.h"
#include "metrics_base.h"
#include "standin/standin_upstream.h"

namespace fulmar {

/// Adds executions to a history; the bundle states which stages are idempotent
/// and so may run twice.
void addExecutions(
    History &H, const Bundle &ActiveBundle,
    const std::vector<std::pair<std::string, Execution>> &Executions);

/// \return Table of attainment by organisation and class, as callers saw it:
/// the share of requests answered completely within the deadline, counted from
/// when each request was due.
std::string attainmentTable(const History &H);

/// \return Table of attempts by result code, as callers saw them.
std::string codeTable(const History &H);

/// \return Table of cost by pipeline and stage, over all organisations.
std::string costTable(const Metrics &M);

/// \return Share of requests that were answered completely and on time.
double attainment(const History &H);

/// \return The quantile \p Q of \p Values; 0 if \p Values is empty.
double quantileOf(std::vector<double> Values, double Q);

/// \return A quantile of the latency of complete answers, in ms, counted from
/// when each request was due, so that a stalled sender does not hide queueing
/// time.
double latencyQuantile(const History &H, double Q);

} // namespace fulmar

#endif
