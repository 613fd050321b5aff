/**
 * The platform's settings file (TOML), read and checked once at the start.
 *
 * <p>Duty: turns the file into the immutable {@link org.ploverspindle.settings.Settings Settings},
 * and reports every problem with its line at once; names limits that are valid but too small for
 * the deployment. Owns: the names of the file's fields and their allowed ranges.
 *
 * <p>May depend on: nothing of this project.
 */
package org.ploverspindle.settings;
