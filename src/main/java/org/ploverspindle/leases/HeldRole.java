package org.ploverspindle.leases;

/**
 * A role that this process holds.
 *
 * @param epoch the epoch of this holder, which is higher than the epochs of all earlier holders
 * @param modRevision the mod revision of the holder's record. Each write under the role is
 *     conditional on it, so that writes of a former holder fail however late they are executed.
 * @param heldSinceMs when this process first saw its own holder's record, in milliseconds on its
 *     monotonic clock
 */
public record HeldRole(long epoch, long modRevision, long heldSinceMs) {}
