package org.ploverspindle.leases;

/**
 * A role that this process holds.
 *
 * @param epoch above the epochs of all earlier holders
 * @param modRevision the mod revision of the holder's record: a condition of each write under the
 *     role, so that writes of a former holder fail however late they are executed
 * @param sinceMs when this process saw that it holds the role, on its steady clock
 */
public record HeldRole(long epoch, long modRevision, long sinceMs) {}
