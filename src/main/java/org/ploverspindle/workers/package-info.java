/**
 * Machines, the reports that their workers send, and the orders that these are answered with.
 *
 * <p>Duty: the leader's view of each machine for one term, the handling of reports, the decision
 * that a placement is proven gone, and the detection of broken machines. Owns: the registry of
 * machines and placements, the wire names of reports and orders ({@link
 * org.ploverspindle.workers.HeartbeatCodec HeartbeatCodec}). Only {@link
 * org.ploverspindle.workers.HeartbeatHandler HeartbeatHandler} lets a launch out.
 *
 * <p>May depend on: {@code jobs}, {@code net}, {@code cloud.Catalogue} for machine types, and
 * {@code leadership.Term} and {@code leadership.SafetyTiming} for tokens and lease times.
 */
package org.ploverspindle.workers;
