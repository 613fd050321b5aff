/**
 * Values that the whole program shares.
 *
 * <p>Duty: what a user asked for ({@link org.ploverspindle.model.JobSpec JobSpec}), resources,
 * machine types and zones ({@link org.ploverspindle.model.Catalogue Catalogue}), a leader's term
 * ({@link org.ploverspindle.model.Term Term}) with its fencing tokens, and the times on which the
 * safety argument rests ({@link org.ploverspindle.model.SafetyTiming SafetyTiming}). Owns no state
 * besides the catalogue's indices, and decides nothing.
 *
 * <p>May depend on: {@code settings}.
 */
package org.ploverspindle.model;
