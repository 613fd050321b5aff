/**
 * The cloud that provisions machines, and the scaling of the fleet.
 *
 * <p>Duty: the client of the cloud's interface; for one term of a leader, scale-out by GEP-24's
 * Adaptive Sizing with backoff of groups whose requests fail, write-ahead provisioning intents that
 * are repeated by name until their outcome is known, the choice of machines to terminate, and the
 * reading of the cloud's list. Owns: the provisioning intents, the group backoffs, the pools'
 * bounds records, the wire names of the cloud's interface ({@link
 * org.ploverspindle.cloud.HttpCloudClient HttpCloudClient}).
 *
 * <p>May depend on: {@code scalein}, {@code placement}, {@code cluster}, {@code state}, {@code
 * model}, {@code policy}, {@code sizing}, {@code settings}, {@code net}, {@code eventloop}.
 */
package org.ploverspindle.cloud;
