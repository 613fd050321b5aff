/**
 * Roles that only one controller may hold at a time.
 *
 * <p>Duty: acquires, renews and releases a role under a lease of the state service, with an epoch
 * that grows from holder to holder. Owns: this process's leases, and what it knows of holding a
 * role. That knowledge is never the proof that an action is allowed: each receiver checks the
 * holder's mod revision or epoch itself, since a process may be paused between its own check and
 * its send, and its clock may jump. See docs/leases.md.
 *
 * <p>May depend on: {@code eventloop} and {@code state}.
 */
package org.ploverspindle.leases;
