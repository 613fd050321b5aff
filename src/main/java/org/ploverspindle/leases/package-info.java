/**
 * Roles that only one controller may hold at a time.
 *
 * <p>Responsibility: acquires, renews and releases a role under a lease of the state service, with
 * an epoch that is higher for each later holder. Owns: this process's leases, and the information
 * whether this process holds a role. That information never proves that an action is allowed. Each
 * receiver checks the holder's mod revision or epoch itself, since a process may be paused between
 * its own check and its send, and its clock may jump. See docs/leases.md.
 *
 * <p>Allowed dependencies: {@code eventloop} and {@code state}.
 */
package org.ploverspindle.leases;
