package org.ploverspindle.leases;

/**
 * Who holds a duty, as it is recorded.
 *
 * @param member the controller's name
 * @param nonce its process: one that is back under the same name is another holder
 * @param epoch grows with each holder; the fencing token
 * @param lease the state service's lease that the record is attached to
 */
public record RoleHolder(String member, String nonce, long epoch, long lease) {}
