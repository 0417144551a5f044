/** The experiment tool: experiments, their options and the records of their runs. */
@NullMarked
package org.azurearch.standin.bench;

import org.jspecify.annotations.NullMarked;
