/**
 * The operators' policy file: a small expression language for the scheduler's tunable values.
 *
 * <p>Responsibility: parses and evaluates the file into the immutable {@link
 * org.ploverspindle.policy.Policy Policy}, and reports every problem, with line and column where it
 * concerns one line. Owns: the language's grammar, the names of the tunable values, their ranges
 * and defaults.
 *
 * <p>Allowed dependencies: {@code settings}, whose values an expression may refer to.
 */
package org.ploverspindle.policy;
