/**
 * The election of a leader, and the leader's work during one term.
 *
 * <p>Duty: takes and renews the lease on the leader key, rebuilds from the records what earlier
 * leaders decided, then handles reports, places tasks and has machines rented until the term ends.
 * Owns: the term with its tokens, the times on which the safety argument rests ({@link
 * org.ploverspindle.model.SafetyTiming SafetyTiming}), and all objects that live for one term.
 *
 * <p>May depend on: everything except {@code api}, {@code controller}, {@code peers} and {@code
 * cli}.
 */
package org.ploverspindle.leadership;
