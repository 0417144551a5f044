/** TCP proxy that injects faults between real processes. */
@NullMarked
package org.azurearch.standin.proxy;

import org.jspecify.annotations.NullMarked;
