/**
 * The cloud from which machines are rented.
 *
 * <p>Duty: the client of the cloud's interface, the catalogue of machine types and zones, and a
 * leader's rentals and returns: scans by Adaptive Sizing, backoff of groups whose rentals fail,
 * durable claims that are repeated by name until their outcome is known. Owns: the claims, the
 * backoff marks, the wire names of the cloud's interface ({@link
 * org.ploverspindle.cloud.HttpCloudClient HttpCloudClient}).
 *
 * <p>May depend on: {@code sizing}, {@code placement} for demand, {@code cluster}, {@code cluster},
 * {@code state}, {@code net}, {@code eventloop}, {@code policy}, {@code settings}, and {@code
 * leadership.Term}.
 */
package org.ploverspindle.cloud;
