package org.ploverspindle.leadership;

import java.util.random.RandomGenerator;
import org.ploverspindle.cloud.CloudClient;
import org.ploverspindle.cluster.WorkerClient;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.leases.FencingRejections;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.model.SafetyTiming;
import org.ploverspindle.pipelines.Pipelines;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.AcceptedJobIndex;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.TokenBucket;

/**
 * What a leader is built from, the same in all terms of a controller. Only {@link Leader} uses it,
 * to wire its parts: each of them takes what it uses.
 */
public record LeaderContext(
    Scheduler scheduler,
    StateStore store,
    Replica replica,
    AcceptedJobIndex acceptedJobs,
    Pipelines pipelines,
    CloudClient cloud,
    WorkerClient workers,
    Catalogue catalogue,
    Settings settings,
    Policy policy,
    SafetyTiming timing,
    RandomGenerator random,
    TokenBucket writeBudget,
    FencingRejections rejections) {}
