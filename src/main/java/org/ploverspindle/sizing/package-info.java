/**
 * Adaptive Sizing of GEP-24 (section 3.1): how many machines each zone's group of one machine type
 * must and may hold.
 *
 * <p>Duty: the published formulas as pure functions. Owns nothing: it keeps no state, reads no
 * clock and draws no random numbers, so that the same input gives the same bounds on any leader.
 *
 * <p>May depend on: nothing of this project.
 */
package org.ploverspindle.sizing;
