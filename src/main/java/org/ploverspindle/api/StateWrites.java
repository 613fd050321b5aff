package org.ploverspindle.api;

import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.TokenBucket;

/**
 * What is needed to write users' requests to the state service.
 *
 * @param budget this controller's share of the changes
 * @param recordNamePrefix starts the names of the records of accepted jobs: no other process uses
 *     it, and no earlier run of this one did
 * @param leaderNotifier is notified of what was written
 */
public record StateWrites(
    StateStore store, TokenBucket budget, String recordNamePrefix, LeaderNotifier leaderNotifier) {}
