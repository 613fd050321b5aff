package org.ploverspindle.api;

import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.TokenBucket;

/**
 * The means to write users' requests to the state service.
 *
 * @param budget this controller's share of the state service's changes
 * @param recordNamePrefix prefix of the names of the records of accepted jobs; no other process
 *     uses the same prefix, nor did any earlier run of this one
 * @param leaderNotifier is notified of the writes
 */
public record StateWriteAccess(
    StateStore store, TokenBucket budget, String recordNamePrefix, LeaderNotifier leaderNotifier) {}
