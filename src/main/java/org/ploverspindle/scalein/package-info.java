/**
 * The termination of provisioned machines.
 *
 * <p>Responsibility: write-ahead intents for terminations. The cloud checks neither the sender of a
 * request nor its fencing token, so a leader that was replaced could terminate a machine on which
 * its successor has placed tasks. Therefore a termination is recorded durably before it is
 * requested from the cloud, is never revoked, and is completed by later leaders if necessary. The
 * safety argument is in docs/safety.md, the alternatives that were considered are in
 * docs/leases.md.
 *
 * <p>Owns: the termination records, the requests to the cloud that are based on them, and what is
 * known of their outcome. The package {@code cloud} decides which machines are terminated.
 *
 * <p>Allowed dependencies: {@code cluster}, {@code state}, {@code model}, {@code eventloop} and
 * {@code net}.
 */
package org.ploverspindle.scalein;
