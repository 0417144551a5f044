/** A node beside a backend server, on a platform that stores configuration and durable state. */
@NullMarked
package org.azurearch.sidecar;

import org.jspecify.annotations.NullMarked;
