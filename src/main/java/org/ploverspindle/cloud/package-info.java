/**
 * The client of the cloud that provisions machines, and the scaling of the fleet.
 *
 * <p>Responsibility: the client of the cloud's HTTP interface; for one term of a leader, scale-out
 * by GEP-24's Adaptive Sizing with backoff of groups whose requests fail, write-ahead provisioning
 * intents whose requests are repeated under the same name until their outcome is known, the
 * selection of machines to terminate, and the reading of the cloud's list of machines.
 *
 * <p>Owns: the provisioning intents, the group backoffs, the records of the pools' bounds, and the
 * wire names of the cloud's interface ({@link org.ploverspindle.cloud.HttpCloudClient
 * HttpCloudClient}).
 *
 * <p>Allowed dependencies: {@code scalein}, {@code placement}, {@code cluster}, {@code state},
 * {@code model}, {@code policy}, {@code sizing}, {@code settings}, {@code net}, {@code eventloop}.
 */
package org.ploverspindle.cloud;
