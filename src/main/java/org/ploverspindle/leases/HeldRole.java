package org.ploverspindle.leases;

/**
 * A duty that this process holds.
 *
 * @param epoch above the epochs of all earlier holders
 * @param modRevision the version of the holder's record: a condition of each write under the duty,
 *     so that writes of a former holder fail however late they are carried out
 * @param sinceMs when this process learnt that it holds the duty, on its steady clock
 */
public record HeldRole(long epoch, long modRevision, long sinceMs) {}
