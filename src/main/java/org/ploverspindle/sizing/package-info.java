/**
 * Adaptive Sizing of GEP-24 (section 3.1): how many machines of one machine type the group of each
 * zone must have at least and may have at most.
 *
 * <p>Responsibility: the published formulas as pure functions. Owns: nothing. It keeps no state,
 * reads no clock and draws no random numbers, so that the same input gives the same bounds on any
 * leader.
 *
 * <p>Allowed dependencies: nothing of this project.
 */
package org.ploverspindle.sizing;
