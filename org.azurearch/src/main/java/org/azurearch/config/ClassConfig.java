package org.azurearch.config;

import org.azurearch.lib.ClassId;

/**
 * A class of calls.
 *
 * @param id the class
 * @param priority the order under overload; 0 is served first and shed last
 */
public record ClassConfig(ClassId id, int priority) {}
