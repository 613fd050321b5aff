/**
 * Duties: work that only one controller may do at a time.
 *
 * <p>Duty: takes, renews and gives up a duty under a lease of the state service, with an epoch that
 * grows with each holder. Owns: this process's leases, and what it knows of holding a duty. That
 * knowledge is never the proof that an action is allowed: each receiver checks the holder's version
 * or epoch itself, since a process may stop between its own check and its send, and its clock may
 * jump. See docs/leases.md.
 *
 * <p>May depend on: {@code eventloop} and {@code state}.
 */
package org.ploverspindle.leases;
