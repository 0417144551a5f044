/** The configuration that a node puts in force: routes, services and limits. */
@NullMarked
package org.azurearch.sidecar.config;

import org.jspecify.annotations.NullMarked;
