package org.ploverspindle.leases;

/**
 * Who holds a role, as it is recorded.
 *
 * @param member the controller's name
 * @param nonce identifies its process: after a restart, the same controller is another holder
 * @param epoch the fencing token; grows with each holder
 * @param lease the lease of the state service that the record is attached to
 */
public record RoleHolder(String member, String nonce, long epoch, long lease) {}
