/**
 * Values that several packages share.
 *
 * <p>Responsibility: represents the specification of a job ({@link org.ploverspindle.model.JobSpec
 * JobSpec}), resources, machine types and zones ({@link org.ploverspindle.model.Catalogue
 * Catalogue}), a leader's term ({@link org.ploverspindle.model.Term Term}) with its fencing tokens,
 * and the durations on which the safety argument rests ({@link org.ploverspindle.model.SafetyTiming
 * SafetyTiming}). Owns: the catalogue's indices and no other state. Makes no scheduling decisions.
 *
 * <p>Allowed dependencies: {@code settings}.
 */
package org.ploverspindle.model;
