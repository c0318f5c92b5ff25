/// \file report_func.h What a run came to, for people.
#ifndef FULMARSTEP_REPORT_FUNC_H
#define FULMARSTEP_REPORT_FUNC_H

#include "bench/history_base.h"
#include "bundle_base.h"
#include "metrics_base.h"
#include "standin/standin_upstream.h"

namespace fulmar {

/// Puts executions into a history; the bundle says which may run twice.
void addExecutions(
    History &H, const Bundle &Under,
    const std::vector<std::pair<std::string, Execution>> &Executions);

/// Attainment by organisation and class, as callers saw it: complete answers
/// within the deadline, counted from when each request was due.
std::string attainmentTable(const History &H);

/// Requests by result code, as callers saw them.
std::string codeTable(const History &H);

/// Cost by pipeline and stage, over all organisations.
std::string costTable(const Metrics &M);

/// \return Share of requests that were answered completely and on time.
double attainment(const History &H);

/// \return The quantile \p Q of \p Values; 0 without any.
double quantileOf(std::vector<double> Values, double Q);

/// \return A quantile of the latency of complete answers, in ms, counted from
/// when each request was due, so that a stalled sender does not hide waiting.
double latencyQuantile(const History &H, double Q);

} // namespace fulmar

#endif
