/**
 * The termination of provisioned machines.
 *
 * <p>Duty: a write-ahead intent for terminations. The cloud checks neither who asks nor under which
 * fencing token, so a leader that was replaced could terminate a machine on which its successor has
 * placed tasks. Therefore a termination is recorded durably before the cloud is asked, is never
 * taken back, and is completed by every later leader. The argument is in docs/safety.md, the ways
 * that were weighed in docs/leases.md.
 *
 * <p>Owns: the termination records, the requests to the cloud that rest on them, and what is known
 * of their outcome. Which machines are terminated is decided by {@code cloud}.
 *
 * <p>May depend on: {@code cluster}, {@code state}, {@code model}, {@code eventloop} and {@code
 * net}.
 */
package org.ploverspindle.scalein;
