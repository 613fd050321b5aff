package org.ploverspindle.api;

import org.ploverspindle.pipelines.Pipelines;
import org.ploverspindle.state.AcceptedJobIndex;
import org.ploverspindle.state.ProgressCounts;
import org.ploverspindle.state.Replica;

/** What this controller knows of jobs: its replica, and the indexes that follow the replica. */
public record JobViews(
    Replica replica, AcceptedJobIndex acceptedJobs, Pipelines pipelines, ProgressCounts counts) {}
