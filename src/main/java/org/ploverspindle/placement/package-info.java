/**
 * Which waiting task starts on which machine, and what capacity is missing.
 *
 * <p>Duty: orders waiting jobs, chooses machines, preempts, estimates run times and arrival rates,
 * and computes what would have to be rented. Owns: the estimates and the arrival statistics of a
 * term. It proposes; durable writes and orders to workers are made elsewhere.
 *
 * <p>May depend on: {@code cluster}, {@code cluster}, {@code settings}, {@code model}.
 */
package org.ploverspindle.placement;
