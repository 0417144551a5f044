/** Recognises requests under which backend servers crash. */
@NullMarked
package org.azurearch.sidecar.internal.suspect;

import org.jspecify.annotations.NullMarked;
