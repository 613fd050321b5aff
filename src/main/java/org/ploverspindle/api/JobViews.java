package org.ploverspindle.api;

import org.ploverspindle.pipelines.Pipelines;
import org.ploverspindle.state.AcceptedJobIndex;
import org.ploverspindle.state.ProgressCounts;
import org.ploverspindle.state.Replica;

/**
 * The sources of what this controller knows about jobs: its replica of the state service, and the
 * indexes that are derived from the replica.
 */
public record JobViews(
    Replica replica, AcceptedJobIndex acceptedJobs, Pipelines pipelines, ProgressCounts counts) {}
