/**
 * The return of rented machines to the cloud.
 *
 * <p>Duty: write-ahead intent for returns. The cloud checks neither who asks nor under which epoch,
 * so a leader that was replaced could return a machine that its successor has given work to.
 * Therefore a return is recorded durably before the cloud is asked, is never taken back, and is
 * completed by every later leader. Owns: the records of returns and what is known of their outcome.
 * The argument is in docs/safety.md, the ways that were weighed in docs/leases.md.
 *
 * <p>May depend on: {@code cluster}, {@code state}, {@code cluster}, {@code settings}, {@code
 * eventloop} and {@code net}. Which machines go back is decided by {@code cloud}.
 */
package org.ploverspindle.scalein;
